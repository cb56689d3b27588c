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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.protocol.TaskId;

/**
 * Troubles that meet while teams are at their limits or jobs are bound to a zone; that each did
 * occur is counted.
 */
class QuotaFaultCombinationsTest {
    private static final long AT = 40_000_000;
    private static final long EVERY = 45_000_000;
    private static final int TIMES = 3;
    private static final long TROUBLED = AT + TIMES * EVERY;
    private static final int SEEDS = Integer.getInteger("seeds", 2);

    enum Meeting {
        /**
         * All teams are at their limits, jobs are called off whose machines are cut off or hang,
         * and the leader changes twice.
         */
        CANCELLED_OUT_OF_REACH {
            @Override
            IntSupplier begin(ClusterSimulation world) {
                boolean allAtLimit = world.truth.teamsAtLimit() == world.settings.teams().size();
                int term = world.leaderChanges();
                int[] outOfReach = {0};
                world.island("b", 24_000_000);
                world.loop.after(
                        1_000_000,
                        () -> {
                            outOfReach[0] +=
                                    cancelWhere(world, 2, machine -> machine.zone.equals("b"));
                            world.cancelNow(3, 9_000_000);
                            outOfReach[0] += cancelWhere(world, 3, SimulatedAgent::hung);
                        });
                world.loop.after(
                        1_500_000 + world.random.nextInt(2_000_000),
                        () -> world.endLeader(2_000_000));
                world.loop.after(12_000_000, () -> world.endLeader(300_000));
                return () -> allAtLimit && world.leaderChanges() > term ? outOfReach[0] : 0;
            }
        },
        /**
         * A team is at its limit as the leader changes, some of its machines can't be asked, and
         * jobs there are called off only then.
         */
        CANCELLED_BEFORE_IT_COULD_ASK {
            @Override
            IntSupplier begin(ClusterSimulation world) {
                int term = world.leaderChanges();
                int[] cancelled = {0};
                world.deafen("a", 2, 26_000_000);
                world.hangAll("b", 9_500_000);
                world.loop.after(500_000, () -> world.endLeader(3_000_000));
                untilSo(
                        world,
                        world.loop.now() + 9_000_000,
                        () -> world.leaderChanges() > term,
                        () -> {
                            if (world.truth.teamsAtLimit() > 0) {
                                cancelled[0] +=
                                        cancelWhere(
                                                world,
                                                3,
                                                machine -> machine.hung() || machine.deaf());
                            }
                        });
                return () -> cancelled[0];
            }
        },
        /** Old reports, of earlier sessions too, come to every node just as a new leader begins. */
        OLD_REPORTS_FOR_THE_NEXT_LEADER {
            @Override
            IntSupplier begin(ClusterSimulation world) {
                int before = world.keptCopies;
                world.keepForNextLeader(25, 22_000_000);
                world.loop.after(4_000_000, () -> world.hangAll("a", 11_500_000));
                world.loop.after(18_000_000, () -> world.endLeader(300_000));
                world.loop.after(24_000_000, () -> world.endLeader(3_000_000));
                return () -> world.keptCopies - before;
            }
        },
        /**
         * Reports are held back until a new leader has placed tasks, and then come to every node,
         * some in a later session.
         */
        HELD_BACK_UNTIL_IT_HAS_ACTED {
            @Override
            IntSupplier begin(ClusterSimulation world) {
                int term = world.leaderChanges();
                int[] starts = {Integer.MAX_VALUE};
                int[] arrived = {0};
                List<byte[]> held = new ArrayList<>();
                // What a refused command is answered with is a report; it never comes to whoever
                // asked.
                world.workers().forEach(machine -> held.add(world.copyOf(reportOf(machine))));
                world.loop.after(300_000, () -> world.hangAll("b", 11_000_000));
                world.loop.after(1_000_000, () -> world.endLeader(2_000_000));
                untilSo(
                        world,
                        world.loop.now() + 35_000_000,
                        () -> world.leaderChanges() > term,
                        () -> starts[0] = world.truth.starts + 3);
                untilSo(
                        world,
                        world.loop.now() + 40_000_000,
                        () -> world.truth.starts >= starts[0],
                        () ->
                                held.forEach(
                                        report -> {
                                            for (int node = 0;
                                                    node < ClusterSimulation.NODES;
                                                    node++) {
                                                arrived[0] +=
                                                        world.arrivesAgain(node, report) ? 1 : 0;
                                            }
                                        }));
                return () -> arrived[0];
            }
        },
        /**
         * Jobs that may run in one zone only, arrays too, lose machines there, once before the
         * leader ends.
         */
        BOUND_TO_ONE_ZONE {
            @Override
            IntSupplier begin(ClusterSimulation world) {
                int[] lost = {0};
                for (int tasks : new int[] {1, 6, 10}) {
                    submitBound(world, tasks);
                }
                untilSo(
                        world,
                        world.loop.now() + 30_000_000,
                        () -> tasksBound(world) >= 4,
                        () -> {
                            lost[0] += tasksBound(world);
                            world.workers().stream()
                                    .filter(machine -> machine.zone.equals("b"))
                                    .forEach(SimulatedAgent::die);
                            world.loop.after(
                                    world.random.nextInt(2_000_000),
                                    () -> world.endLeader(500_000));
                        });
                return () -> lost[0];
            }
        };

        /**
         * Brings it about; what is returned tells in the end how often that has come to something.
         */
        abstract IntSupplier begin(ClusterSimulation world);
    }

    private static Map<String, Object> reportOf(SimulatedAgent machine) {
        @SuppressWarnings("unchecked")
        Map<String, Object> report =
                (Map<String, Object>) machine.direct(Map.of("epoch", -1L, "tenure", 0L))[1];
        return report;
    }

    /** Calls off up to so many jobs that have a task on such a machine. */
    private static int cancelWhere(
            ClusterSimulation world, int most, Predicate<SimulatedAgent> such) {
        List<String> chosen =
                world.truth.running().stream()
                        .filter(
                                jobId ->
                                        world.truth.machinesOf(Set.of(jobId)).stream()
                                                .anyMatch(such))
                        .limit(most)
                        .toList();
        chosen.forEach(world::cancel);
        return chosen.size();
    }

    /** Does it once, as soon as it is so; not after the given time. */
    private static void untilSo(
            ClusterSimulation world,
            long until,
            java.util.function.BooleanSupplier so,
            Runnable then) {
        if (so.getAsBoolean()) {
            then.run();
        } else if (world.loop.now() < until) {
            world.loop.after(100_000, () -> untilSo(world, until, so, then));
        }
    }

    private static void submitBound(ClusterSimulation world, int tasks) {
        String jobId = world.newUid();
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
            world.truth.submitting(JobDescription.parse(job));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
        world.submit(jobId, job, world.loop.now() + 60_000_000, accepted -> {});
    }

    private static int tasksBound(ClusterSimulation world) {
        int tasks = 0;
        for (String jobId : world.truth.running()) {
            JobDescription job = world.truth.submitted.get(jobId);
            for (int i = 0; job.jobClass().equals("bound") && i < job.taskCount(); i++) {
                tasks += world.truth.machineOf(new TaskId(jobId, i)) == null ? 0 : 1;
            }
        }
        return tasks;
    }

    private static WaitingJobs day(long seed, Scenario kind, Set<Meeting> meetings) {
        ClusterSimulation world = new ClusterSimulation(seed, kind);
        world.users(TROUBLED - EVERY);
        world.truth.calmFrom = TROUBLED + 60_000_000;
        WaitingJobs waiting = new WaitingJobs(world, TROUBLED + 60_000_000);
        Map<Meeting, List<IntSupplier>> begun = new LinkedHashMap<>();
        meetings.forEach(meeting -> begun.put(meeting, new ArrayList<>()));
        for (int i = 0; i < TIMES; i++) {
            meetings.forEach(
                    meeting ->
                            world.loop.after(
                                    AT + world.random.nextInt(4_000_000),
                                    () -> {
                                        if (world.stored("leader") != null) {
                                            begun.get(meeting).add(meeting.begin(world));
                                        }
                                    }));
            world.run(world.loop.now() + EVERY);
        }
        finish(world);
        begun.forEach(
                (meeting, times) ->
                        assertTrue(
                                times.stream().mapToInt(IntSupplier::getAsInt).sum() > 0,
                                meeting + " did not occur, seed " + seed));
        assertEquals(List.of(), world.unfinished(), "seed " + seed);
        return waiting;
    }

    /**
     * Where a team's limit has room for one task at a time, what its users asked for takes long.
     */
    private static void finish(ClusterSimulation world) {
        while (world.loop.now() < TROUBLED + 1_500_000_000
                && (world.loop.now() < TROUBLED + 200_000_000 || !world.unfinished().isEmpty())) {
            world.run(world.loop.now() + 20_000_000);
        }
    }

    @ParameterizedTest
    @EnumSource
    void rulesHoldInEachMeeting(Meeting meeting) {
        int seen = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            seen += day(seed, Scenario.TIGHT, Set.of(meeting)).seen;
        }
        assertTrue(seen > 0, "no job ever waited for a moment");
    }

    @ParameterizedTest
    @CsvSource({
        "CANCELLED_OUT_OF_REACH, OLD_REPORTS_FOR_THE_NEXT_LEADER",
        "CANCELLED_BEFORE_IT_COULD_ASK, HELD_BACK_UNTIL_IT_HAS_ACTED",
        "BOUND_TO_ONE_ZONE, CANCELLED_BEFORE_IT_COULD_ASK"
    })
    void rulesHoldInTwoAtOnce(Meeting one, Meeting other) {
        day(SEEDS, Scenario.TIGHT, Set.of(one, other));
    }

    /** Everything else at random besides. */
    @Test
    void rulesHoldOnRandomDaysAtLimits() {
        int most = 0;
        int copies = 0;
        int waited = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ClusterSimulation world = new ClusterSimulation(seed, Scenario.TIGHT);
            world.users(TROUBLED - EVERY);
            world.faults(TROUBLED);
            world.keepForNextLeader(10, TROUBLED);
            world.cancelAtEnd(10, TROUBLED);
            world.loseAnswers(5, TROUBLED);
            WaitingJobs waiting = new WaitingJobs(world, TROUBLED + 60_000_000);
            for (long at = 30_000_000; at < TROUBLED; at += 15_000_000) {
                world.loop.at(at, () -> world.cancelNow(3, world.random.nextInt(9_000_000)));
                world.run(at);
                most = Math.max(most, world.truth.teamsAtLimit());
            }
            finish(world);
            assertEquals(List.of(), world.unfinished(), "seed " + seed);
            copies += world.keptCopies;
            waited += waiting.seen;
        }
        assertTrue(
                copies > 0 && waited > 0,
                copies + " old reports, " + waited + " times a job could have run");
        assertEquals(2, most, "both teams were at their limits");
    }

    private static Scenario told(long leaseMicros) {
        return new Scenario(
                Scenario.SHORT,
                new Scenario.Times(leaseMicros, Scenario.SHORT.cancelMicros()),
                Version.NOW,
                Scenario.Flaw.NONE,
                0,
                2,
                true);
    }

    private static void caught(Scenario broken, Meeting meeting) {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed = 1; seed <= 20; seed++) {
                                day(seed, broken, Set.of(meeting));
                            }
                        });
        assertTrue(
                caught.getMessage().contains("ran_twice") || caught.getMessage().contains("quota"),
                caught.getMessage());
    }

    @ParameterizedTest
    @EnumSource(names = {"CANCELLED_OUT_OF_REACH", "CANCELLED_BEFORE_IT_COULD_ASK"})
    void aServiceThatTrustsTooShortALeaseIsCaught(Meeting meeting) {
        caught(told(Scenario.SHORT.leaseMicros() / 2), meeting);
    }

    @Test
    void oldReportsThatLookNewAreCaught() {
        caught(
                Scenario.TIGHT.with(Scenario.Flaw.COPIES_LOOK_NEW),
                Meeting.OLD_REPORTS_FOR_THE_NEXT_LEADER);
        caught(
                Scenario.TIGHT.with(Scenario.Flaw.COPIES_LOOK_NEW),
                Meeting.HELD_BACK_UNTIL_IT_HAS_ACTED);
    }

    /** Nobody leads any more, and its machines are there. */
    @Test
    void jobsThatAreLeftWaitingAreCaught() {
        ClusterSimulation world = new ClusterSimulation(1, Scenario.PLAIN);
        world.users(AT);
        WaitingJobs waiting = new WaitingJobs(world, AT);
        world.run(AT);
        for (int node = 0; node < ClusterSimulation.NODES; node++) {
            world.end(node, 1_000_000_000);
        }
        assertThrows(InvariantViolation.class, () -> world.run(AT + 120_000_000));
        assertTrue(waiting.longestMicros >= 90_000_000);
    }
}
