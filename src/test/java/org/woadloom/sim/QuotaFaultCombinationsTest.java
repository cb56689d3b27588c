package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.protocol.TaskId;

/**
 * Faults while teams are at their quota limits or jobs are bound to a zone; each test checks that
 * its fault took effect.
 */
@ExtendWith(PrintReplayCommand.class)
class QuotaFaultCombinationsTest {
    private static final long FIRST_FAULT = 40_000_000;
    private static final long FAULT_INTERVAL = 45_000_000;
    private static final int FAULT_REPEATS = 3;
    private static final long FAULTS_END = FIRST_FAULT + FAULT_REPEATS * FAULT_INTERVAL;
    private static final int SEEDS = 2;

    enum Fault {
        /**
         * All teams are at their limits, jobs are cancelled whose machines are partitioned or hang,
         * and the leader changes twice.
         */
        CANCELLED_ON_UNREACHABLE_MACHINES {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                boolean allAtLimit =
                        cluster.observed.teamsAtLimit() == cluster.settings.teams().size();
                int term = cluster.leaderChanges();
                int[] cancelled = {0};
                cluster.isolateZone("b", 24_000_000);
                cluster.loop.after(
                        1_000_000,
                        () -> {
                            cancelled[0] +=
                                    cancelJobsOn(cluster, 2, machine -> machine.zone.equals("b"));
                            cluster.cancelRunningJobs(3, 9_000_000);
                            cancelled[0] += cancelJobsOn(cluster, 3, SimulatedAgent::isHung);
                        });
                cluster.loop.after(
                        1_500_000 + cluster.random.nextInt(2_000_000),
                        () -> cluster.restartLeader(2_000_000));
                cluster.loop.after(12_000_000, () -> cluster.restartLeader(300_000));
                return () -> allAtLimit && cluster.leaderChanges() > term ? cancelled[0] : 0;
            }
        },
        /**
         * A team is at its limit when the leader changes, some machines are unreachable for the new
         * leader, and jobs on them are cancelled only then.
         */
        CANCELLED_BEFORE_NEW_LEADER_REACHES_MACHINES {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                int term = cluster.leaderChanges();
                int[] cancelled = {0};
                cluster.blockInbound("a", 2, 26_000_000);
                cluster.hangAll("b", 9_500_000);
                cluster.loop.after(500_000, () -> cluster.restartLeader(3_000_000));
                runOnceWhen(
                        cluster,
                        cluster.loop.now() + 9_000_000,
                        () -> cluster.leaderChanges() > term,
                        () -> {
                            if (cluster.observed.teamsAtLimit() > 0) {
                                cancelled[0] +=
                                        cancelJobsOn(
                                                cluster,
                                                3,
                                                machine ->
                                                        machine.isHung()
                                                                || machine.isInboundBlocked());
                            }
                        });
                return () -> cancelled[0];
            }
        },
        /**
         * Stale reports, some of earlier sessions, reach every node just after a new leader has
         * been elected.
         */
        STALE_REPORTS_FOR_NEXT_LEADER {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                int before = cluster.delayedHeartbeatsDelivered;
                cluster.delayHeartbeatsUntilNextLeader(25, 22_000_000);
                cluster.loop.after(4_000_000, () -> cluster.hangAll("a", 11_500_000));
                cluster.loop.after(18_000_000, () -> cluster.restartLeader(300_000));
                cluster.loop.after(24_000_000, () -> cluster.restartLeader(3_000_000));
                return () -> cluster.delayedHeartbeatsDelivered - before;
            }
        },
        /**
         * Reports are delayed until a new leader has placed tasks, and then reach every node, some
         * in a later session.
         */
        REPORTS_DELAYED_UNTIL_NEXT_LEADER_ACTED {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                int term = cluster.leaderChanges();
                int[] startsToWaitFor = {Integer.MAX_VALUE};
                int[] arrived = {0};
                List<byte[]> delayedReports = new ArrayList<>();
                // A rejected command is answered with a report; this one never reaches whoever sent
                // the command.
                cluster.agents()
                        .forEach(
                                machine ->
                                        delayedReports.add(
                                                cluster.encodeDuplicate(reportOf(machine))));
                cluster.loop.after(300_000, () -> cluster.hangAll("b", 11_000_000));
                cluster.loop.after(1_000_000, () -> cluster.restartLeader(2_000_000));
                runOnceWhen(
                        cluster,
                        cluster.loop.now() + 35_000_000,
                        () -> cluster.leaderChanges() > term,
                        () -> startsToWaitFor[0] = cluster.observed.taskStarts + 3);
                runOnceWhen(
                        cluster,
                        cluster.loop.now() + 40_000_000,
                        () -> cluster.observed.taskStarts >= startsToWaitFor[0],
                        () ->
                                delayedReports.forEach(
                                        report -> {
                                            for (int node = 0;
                                                    node < ClusterSimulation.NODES;
                                                    node++) {
                                                arrived[0] +=
                                                        cluster.deliverDuplicate(node, report)
                                                                ? 1
                                                                : 0;
                                            }
                                        }));
                return () -> arrived[0];
            }
        },
        /**
         * Jobs that may run in one zone only, arrays among them, lose their machines there; the
         * leader ends shortly after.
         */
        JOBS_BOUND_TO_ONE_ZONE {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                int[] lostTasks = {0};
                for (int tasks : new int[] {1, 6, 10}) {
                    submitJobInZoneB(cluster, tasks);
                }
                runOnceWhen(
                        cluster,
                        cluster.loop.now() + 30_000_000,
                        () -> countPlacedTasksBoundToZone(cluster) >= 4,
                        () -> {
                            lostTasks[0] += countPlacedTasksBoundToZone(cluster);
                            cluster.agents().stream()
                                    .filter(machine -> machine.zone.equals("b"))
                                    .forEach(SimulatedAgent::fail);
                            cluster.loop.after(
                                    cluster.random.nextInt(2_000_000),
                                    () -> cluster.restartLeader(500_000));
                        });
                return () -> lostTasks[0];
            }
        };

        /**
         * Injects the fault; the result, read at the end of the run, tells how often it took
         * effect.
         */
        abstract IntSupplier inject(ClusterSimulation cluster);
    }

    private static Map<String, Object> reportOf(SimulatedAgent machine) {
        @SuppressWarnings("unchecked")
        Map<String, Object> report =
                (Map<String, Object>)
                        machine.handleDirectCommand(Map.of("epoch", -1L, "tenure", 0L))[1];
        return report;
    }

    /** Cancels up to {@code limit} jobs that have a task on a machine that meets the condition. */
    private static int cancelJobsOn(
            ClusterSimulation cluster, int limit, Predicate<SimulatedAgent> condition) {
        List<String> chosen =
                cluster.observed.runningJobs().stream()
                        .filter(
                                jobId ->
                                        cluster.observed.machinesOf(Set.of(jobId)).stream()
                                                .anyMatch(condition))
                        .limit(limit)
                        .toList();
        chosen.forEach(cluster.users::cancel);
        return chosen.size();
    }

    /** Runs the action once, as soon as the condition holds, unless the given time has passed. */
    private static void runOnceWhen(
            ClusterSimulation cluster,
            long until,
            java.util.function.BooleanSupplier condition,
            Runnable action) {
        if (condition.getAsBoolean()) {
            action.run();
        } else if (cluster.loop.now() < until) {
            cluster.loop.after(100_000, () -> runOnceWhen(cluster, until, condition, action));
        }
    }

    private static void submitJobInZoneB(ClusterSimulation cluster, int tasks) {
        String jobId = cluster.users.newJobId();
        Map<String, Object> job =
                new LinkedHashMap<>(
                        Map.of(
                                "uid",
                                jobId,
                                "jobclass",
                                "bound",
                                "crew",
                                tasks == 6 ? "blue" : "red",
                                "shape",
                                "batch",
                                "rank",
                                "critical",
                                "shards",
                                (long) tasks,
                                "vcpus",
                                2.0,
                                "ramGb",
                                2.0,
                                "bundle",
                                "img-1",
                                "yard",
                                "b"));
        job.putAll(
                Map.of(
                        "cards",
                        0.0,
                        "pullGb",
                        1.0,
                        "samePlace",
                        tasks == 10,
                        "apart",
                        false,
                        "reclaimable",
                        true,
                        "runtimeS",
                        9.0,
                        "snapshotEveryS",
                        0.0,
                        "snapshotCostS",
                        0.0));
        try {
            cluster.observed.recordSubmission(JobDescription.parse(job));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
        cluster.users.submit(jobId, job, cluster.loop.now() + 60_000_000, accepted -> {});
    }

    private static int countPlacedTasksBoundToZone(ClusterSimulation cluster) {
        int tasks = 0;
        for (String jobId : cluster.observed.runningJobs()) {
            JobDescription job = cluster.observed.job(jobId);
            for (int i = 0; job.jobClass().equals("bound") && i < job.taskCount(); i++) {
                tasks += cluster.observed.machineOf(new TaskId(jobId, i)) == null ? 0 : 1;
            }
        }
        return tasks;
    }

    private static WaitingJobs runAndAssertOccurred(
            long seed, Scenario scenario, Set<Fault> faults) {
        ClusterSimulation cluster = new ClusterSimulation(seed, scenario);
        cluster.users.submitUntil(FAULTS_END - FAULT_INTERVAL);
        cluster.observed.faultFreeFromMicros = FAULTS_END + 60_000_000;
        WaitingJobs waiting = new WaitingJobs(cluster, FAULTS_END + 60_000_000);
        Map<Fault, List<IntSupplier>> injected = new LinkedHashMap<>();
        faults.forEach(fault -> injected.put(fault, new ArrayList<>()));
        for (int i = 0; i < FAULT_REPEATS; i++) {
            faults.forEach(
                    fault ->
                            cluster.loop.after(
                                    FIRST_FAULT + cluster.random.nextInt(4_000_000),
                                    () -> {
                                        if (cluster.stored("leader") != null) {
                                            injected.get(fault).add(fault.inject(cluster));
                                        }
                                    }));
            cluster.run(cluster.loop.now() + FAULT_INTERVAL);
        }
        runUntilJobsFinish(cluster);
        injected.forEach(
                (fault, effects) ->
                        assertTrue(
                                effects.stream().mapToInt(IntSupplier::getAsInt).sum() > 0,
                                fault + " did not occur, seed " + seed));
        assertEquals(List.of(), cluster.unfinishedJobs(), "seed " + seed);
        return waiting;
    }

    /**
     * Runs until all jobs are finished, or for 1,500 s: a team whose limit has room for one task at
     * a time takes long.
     */
    private static void runUntilJobsFinish(ClusterSimulation cluster) {
        while (cluster.loop.now() < FAULTS_END + 1_500_000_000
                && (cluster.loop.now() < FAULTS_END + 200_000_000
                        || !cluster.unfinishedJobs().isEmpty())) {
            cluster.run(cluster.loop.now() + 20_000_000);
        }
    }

    @ParameterizedTest
    @EnumSource
    void invariantsHoldUnderEachFault(Fault fault) {
        int seen = 0;
        for (long seed : Seeds.firstOrConfigured(SEEDS)) {
            seen +=
                    runAndAssertOccurred(seed, Scenario.TEAMS_AT_QUOTA, Set.of(fault))
                            .waitsObserved;
        }
        assertTrue(seen > 0, "no job was ever seen waiting while it could run");
    }

    @ParameterizedTest
    @CsvSource({
        "CANCELLED_ON_UNREACHABLE_MACHINES, STALE_REPORTS_FOR_NEXT_LEADER",
        "CANCELLED_BEFORE_NEW_LEADER_REACHES_MACHINES, REPORTS_DELAYED_UNTIL_NEXT_LEADER_ACTED",
        "JOBS_BOUND_TO_ONE_ZONE, CANCELLED_BEFORE_NEW_LEADER_REACHES_MACHINES"
    })
    void invariantsHoldUnderTwoFaultsAtOnce(Fault one, Fault other) {
        runAndAssertOccurred(
                Seeds.countOrConfigured(SEEDS), Scenario.TEAMS_AT_QUOTA, Set.of(one, other));
    }

    @Test
    void invariantsHoldUnderRandomFaultsAtQuotaLimits() {
        int mostTeamsAtLimit = 0;
        int copies = 0;
        int waited = 0;
        for (long seed : Seeds.firstOrConfigured(SEEDS)) {
            ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.TEAMS_AT_QUOTA);
            cluster.users.submitUntil(FAULTS_END - FAULT_INTERVAL);
            cluster.randomFaults.startUntil(FAULTS_END);
            cluster.delayHeartbeatsUntilNextLeader(10, FAULTS_END);
            cluster.cancelAtEnd(10, FAULTS_END);
            cluster.loseAnswers(5, FAULTS_END);
            WaitingJobs waiting = new WaitingJobs(cluster, FAULTS_END + 60_000_000);
            for (long at = 30_000_000; at < FAULTS_END; at += 15_000_000) {
                cluster.loop.at(
                        at, () -> cluster.cancelRunningJobs(3, cluster.random.nextInt(9_000_000)));
                cluster.run(at);
                mostTeamsAtLimit = Math.max(mostTeamsAtLimit, cluster.observed.teamsAtLimit());
            }
            runUntilJobsFinish(cluster);
            assertEquals(List.of(), cluster.unfinishedJobs(), "seed " + seed);
            copies += cluster.delayedHeartbeatsDelivered;
            waited += waiting.waitsObserved;
        }
        assertTrue(
                copies > 0 && waited > 0,
                copies
                        + " stale reports, "
                        + waited
                        + " observations of a job waiting while it could run");
        assertEquals(2, mostTeamsAtLimit, "most teams at their limits at the same time");
    }

    private static Scenario scenarioWithConfiguredLease(long leaseMicros) {
        return new Scenario(
                Scenario.SHORT_TIMES,
                new Scenario.Times(leaseMicros, Scenario.SHORT_TIMES.cancelMicros()),
                Version.CURRENT,
                Scenario.Flaw.NONE,
                0,
                2,
                true);
    }

    private static void assertViolationDetected(Scenario broken, Fault fault) {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed : Seeds.first(20)) {
                                runAndAssertOccurred(seed, broken, Set.of(fault));
                            }
                        });
        assertTrue(
                caught.getMessage().contains("ran_twice") || caught.getMessage().contains("quota"),
                caught.getMessage());
    }

    @ParameterizedTest
    @EnumSource(
            names = {
                "CANCELLED_ON_UNREACHABLE_MACHINES",
                "CANCELLED_BEFORE_NEW_LEADER_REACHES_MACHINES"
            })
    void checkerDetectsLeaseAssumedTooShort(Fault fault) {
        assertViolationDetected(
                scenarioWithConfiguredLease(Scenario.SHORT_TIMES.leaseMicros() / 2), fault);
    }

    @Test
    void checkerDetectsStaleReportsTakenAsNew() {
        assertViolationDetected(
                Scenario.TEAMS_AT_QUOTA.with(Scenario.Flaw.DELAYED_HEARTBEATS_LOOK_NEW),
                Fault.STALE_REPORTS_FOR_NEXT_LEADER);
        assertViolationDetected(
                Scenario.TEAMS_AT_QUOTA.with(Scenario.Flaw.DELAYED_HEARTBEATS_LOOK_NEW),
                Fault.REPORTS_DELAYED_UNTIL_NEXT_LEADER_ACTED);
    }

    /** All controllers are down while the machines run. */
    @Test
    void checkerDetectsStarvedJobs() {
        ClusterSimulation cluster = new ClusterSimulation(1, Scenario.DEFAULT);
        cluster.users.submitUntil(FIRST_FAULT);
        WaitingJobs waiting = new WaitingJobs(cluster, FIRST_FAULT);
        cluster.run(FIRST_FAULT);
        for (int node = 0; node < ClusterSimulation.NODES; node++) {
            cluster.restartAfter(node, 1_000_000_000);
        }
        assertThrows(InvariantViolation.class, () -> cluster.run(FIRST_FAULT + 120_000_000));
        assertTrue(waiting.longestWaitMicros >= 90_000_000);
    }
}
