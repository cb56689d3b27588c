package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadloom.protocol.TaskId;

/**
 * Machines that boot very fast, boot late or were not requested by the current leader, and machines
 * that are unreachable in various ways while the leader ends. Each test checks that its fault
 * occurred; the invariants are checked after each step.
 */
@ExtendWith(PrintReplayCommand.class)
class MachineFaultCombinationsTest {
    private static final long FAULTS_START = 60_000_000;

    enum AgentFault {
        /** The agent can't open connections; commands reach it and their answers arrive. */
        NO_OUTBOUND((agent, until) -> agent.connectsBlockedUntilMicros = until),
        /** Commands reach the agent, but nothing that it sends arrives. */
        MUTE((agent, until) -> agent.outboundBlockedUntilMicros = until),
        /** Nothing reaches the agent, but its reports arrive. */
        DEAF((agent, until) -> agent.inboundBlockedUntilMicros = until),
        HANGS((agent, until) -> agent.hungUntilMicros = until);

        private final BiConsumer<SimulatedAgent, Long> effect;

        AgentFault(BiConsumer<SimulatedAgent, Long> effect) {
            this.effect = effect;
        }

        void inject(SimulatedAgent agent, long until) {
            effect.accept(agent, until);
        }
    }

    /** Starts a cluster without other faults than those of the test; leases are 20 s. */
    private static ClusterSimulation startCluster(long seed, Scenario.Times configuredTimes) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        seed,
                        new Scenario(
                                Scenario.LONG_TIMES,
                                configuredTimes,
                                Version.CURRENT,
                                Scenario.Flaw.NONE,
                                0));
        cluster.networkFaultPerMille = 0;
        cluster.users.submitUntil(FAULTS_START + 60_000_000);
        cluster.observed.faultFreeFromMicros = FAULTS_START + 150_000_000;
        cluster.run(FAULTS_START);
        return cluster;
    }

    /**
     * Injects the faults into every n-th machine that runs tasks and returns these machines; the
     * leases of all others must not expire.
     */
    private static List<SimulatedAgent> injectIntoBusyMachines(
            ClusterSimulation cluster, List<AgentFault> faults, int oneIn, long forMicros) {
        List<SimulatedAgent> faulty = new ArrayList<>();
        List<SimulatedAgent> busy =
                cluster.agents().stream().filter(agent -> !agent.runningTasks().isEmpty()).toList();
        for (int i = 0; i < busy.size(); i += oneIn) {
            faults.get(faulty.size() % faults.size())
                    .inject(busy.get(i), cluster.loop.now() + forMicros);
            faulty.add(busy.get(i));
        }
        return faulty;
    }

    private static Set<TaskId> tasksOn(List<SimulatedAgent> agents) {
        Set<TaskId> tasks = new LinkedHashSet<>();
        agents.forEach(agent -> tasks.addAll(agent.runningTasks()));
        return tasks;
    }

    /**
     * The tasks that are neither done nor cancelled, and run on no machine but the excluded ones.
     */
    private static List<TaskId> unfinishedElsewhere(
            ClusterSimulation cluster, Set<TaskId> tasks, List<SimulatedAgent> excluded) {
        Set<TaskId> running =
                tasksOn(
                        cluster.agents().stream()
                                .filter(agent -> !excluded.contains(agent))
                                .toList());
        return tasks.stream()
                .filter(
                        task ->
                                !running.contains(task)
                                        && !cluster.observed.isDone(task)
                                        && !cluster.observed.hasFinalStatus(task.jobId()))
                .toList();
    }

    /**
     * Some machines are unreachable for three leases, also while the leader changes: no lease of
     * another machine expires, and the work is done elsewhere before the fault is over. Without a
     * fault in the parameters the machines get all faults in turn.
     */
    @ParameterizedTest
    @CsvSource({
        "NO_OUTBOUND, 10, 0",
        "NO_OUTBOUND, 3, 1",
        "MUTE, 3, 1",
        "DEAF, 10, 1",
        "DEAF, 3, 0",
        "HANGS, 3, 0",
        "HANGS, 10, 1",
        ", 2, 1"
    })
    void workMovesOffUnreachableMachinesAndOtherLeasesAreKept(
            AgentFault fault, int oneIn, int leaderEnds) {
        int faultyCount = 0;
        int affectedTasks = 0;
        for (long seed : Seeds.firstOrConfigured(2)) {
            ClusterSimulation cluster = startCluster(seed, Scenario.LONG_TIMES);
            List<SimulatedAgent> faulty =
                    injectIntoBusyMachines(
                            cluster,
                            fault == null ? List.of(AgentFault.values()) : List.of(fault),
                            oneIn,
                            60_000_000);
            Set<TaskId> tasks = tasksOn(faulty);
            List<SimulatedAgent> healthy =
                    cluster.agents().stream().filter(agent -> !faulty.contains(agent)).toList();
            long term = cluster.term();
            if (leaderEnds == 1) {
                cluster.loop.after(3_000_000, () -> cluster.restartLeader(12_000_000));
            }
            cluster.run(FAULTS_START + 59_000_000);
            assertEquals(leaderEnds == 1, cluster.term() > term);
            assertEquals(
                    0,
                    healthy.stream().mapToInt(agent -> agent.tasksKilledByLease).sum(),
                    "tasks killed on machines without a fault, seed " + seed);
            assertEquals(
                    List.of(),
                    unfinishedElsewhere(cluster, tasks, faulty),
                    "tasks neither done nor running elsewhere after 59 s, seed " + seed);
            faultyCount += faulty.size();
            affectedTasks += tasks.size();
            // Long, because one team's limit has room for only three of its larger tasks at a time,
            // and seed 2 submits many of them.
            cluster.run(FAULTS_START + 420_000_000);
            assertEquals(List.of(), cluster.unfinishedJobs(), "seed " + seed);
        }
        assertTrue(
                faultyCount >= 2 && affectedTasks > 0,
                faultyCount + " machines and " + affectedTasks + " tasks were affected");
    }

    @ParameterizedTest
    @EnumSource
    void faultShorterThanLeaseKillsNoTask(AgentFault fault) {
        for (long seed : Seeds.firstOrConfigured(2)) {
            ClusterSimulation cluster = startCluster(seed, Scenario.LONG_TIMES);
            int killed = cluster.observed.killedByLease;
            List<SimulatedAgent> faulty =
                    injectIntoBusyMachines(cluster, List.of(fault), 3, 8_000_000);
            assertTrue(!faulty.isEmpty());
            cluster.run(FAULTS_START + 30_000_000);
            assertEquals(killed, cluster.observed.killedByLease);
        }
    }

    /**
     * A machine that answers commands is alive, and its tasks run until its lease expires: it is
     * not given up before.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 3})
    void machinesWithoutOutboundForLessThanLeaseAreKept(int oneIn) {
        for (long seed : Seeds.firstOrConfigured(3)) {
            ClusterSimulation cluster = startCluster(seed, Scenario.LONG_TIMES);
            int killed = cluster.observed.killedByLease;
            List<SimulatedAgent> faulty =
                    injectIntoBusyMachines(
                            cluster, List.of(AgentFault.NO_OUTBOUND), oneIn, 15_000_000);
            cluster.run(FAULTS_START + 16_000_000);
            assertEquals(killed, cluster.observed.killedByLease);
            assertEquals(
                    0,
                    faulty.stream().filter(agent -> agent.failed).count(),
                    "machines given up, seed " + seed);
        }
    }

    /** The checker must detect a service that assumes leases to be shorter than they are. */
    @Test
    void checkerDetectsLeaseAssumedTooShort() {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed : Seeds.first(20)) {
                                ClusterSimulation cluster =
                                        startCluster(
                                                seed, new Scenario.Times(9_000_000, 50_000_000));
                                injectIntoBusyMachines(
                                        cluster, List.of(AgentFault.NO_OUTBOUND), 2, 60_000_000);
                                cluster.run(FAULTS_START + 60_000_000);
                            }
                        });
        assertTrue(
                caught.getMessage().contains("ran_twice") || caught.getMessage().contains("quota"),
                caught.getMessage());
    }

    /**
     * All leases expire; the first leader then has proof that the recorded tasks are lost, and
     * restarts them within seconds.
     */
    @Test
    void workRestartsWithinSecondsAfterAllControllersWereDown() {
        for (long seed : Seeds.firstOrConfigured(3)) {
            ClusterSimulation cluster = startCluster(seed, Scenario.LONG_TIMES);
            int killed = cluster.observed.killedByLease;
            Set<TaskId> tasks = tasksOn(cluster.agents());
            for (int node = 0; node < ClusterSimulation.NODES; node++) {
                cluster.restartAfter(node, 32_000_000 + 300_000 * node);
            }
            cluster.run(FAULTS_START + 32_000_000);
            assertTrue(
                    cluster.observed.killedByLease > killed && !tasks.isEmpty(),
                    "no lease expired, seed " + seed);
            int starts = cluster.observed.taskStarts;
            long controllersBack = cluster.loop.now();
            while (cluster.observed.taskStarts == starts
                    && cluster.loop.now() < controllersBack + 60_000_000) {
                cluster.run(cluster.loop.now() + 100_000);
            }
            assertTrue(
                    cluster.loop.now() - controllersBack < 15_000_000,
                    "first start after "
                            + (cluster.loop.now() - controllersBack) / 1_000_000
                            + " s, seed "
                            + seed);
            cluster.run(controllersBack + 60_000_000);
            assertEquals(
                    List.of(),
                    unfinishedElsewhere(cluster, tasks, List.of()),
                    "tasks neither done nor restarted, seed " + seed);
        }
    }

    /**
     * Rentals and deletions take effect seconds late, some of them after the leader that requested
     * them is gone.
     */
    @Test
    void delayedRentalsAndDeletionsLeaveNoUnusedMachines() {
        Map<String, Integer> count = new LinkedHashMap<>();
        for (long seed : Seeds.firstOrConfigured(4)) {
            ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.DEFAULT);
            cluster.users.submitUntil(150_000_000);
            cluster.observed.faultFreeFromMicros = 230_000_000;
            cluster.loop.after(3_000_000, () -> cluster.delayCloudRequests(60, 150_000_000));
            for (long at = 25_000_000; at < 160_000_000; at += 14_000_000) {
                // The leader gives up the hung machines and ends when it requests their deletion.
                cluster.loop.after(
                        at - 12_000_000,
                        () ->
                                cluster.agents().stream()
                                        .filter(agent -> !agent.runningTasks().isEmpty())
                                        .limit(2)
                                        .forEach(
                                                agent ->
                                                        agent.hungUntilMicros =
                                                                cluster.loop.now() + 25_000_000));
                cluster.loop.after(at, () -> cluster.restartLeader(500_000));
            }
            cluster.run(480_000_000);
            assertEquals(List.of(), cluster.unfinishedJobs(), "seed " + seed);
            Set<String> unused = new HashSet<>();
            cluster.agents().stream()
                    .filter(agent -> !agent.failed && agent.tasksStarted == 0)
                    .forEach(agent -> unused.add(agent.host));
            unused.retainAll(cluster.machinesRentedForFormerLeaders());
            assertEquals(Set.of(), unused, "machines neither used nor returned, seed " + seed);
            count.merge(
                    "rented for earlier leaders",
                    cluster.machinesRentedForFormerLeaders().size(),
                    Integer::sum);
            count.merge(
                    "deleted for earlier leaders",
                    cluster.machinesDeletedForFormerLeaders(),
                    Integer::sum);
        }
        assertTrue(
                count.get("rented for earlier leaders") >= 5
                        && count.get("deleted for earlier leaders") >= 3,
                "" + count);
    }

    /**
     * Machines boot at once and get work while writes and their answers are delayed; leaders and
     * some of the machines end.
     */
    @Test
    void jobsFinishWhenMachinesBootFastWhileWritesLagAndLeadersEnd() {
        Map<String, Integer> count = new LinkedHashMap<>();
        for (long seed : Seeds.firstOrConfigured(3)) {
            ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.DEFAULT);
            cluster.users.submitUntil(170_000_000);
            cluster.observed.faultFreeFromMicros = 240_000_000;
            cluster.run(10_000_000);
            long term = cluster.term();
            cluster.bootMachinesFast(150_000_000);
            cluster.delayWrites(20, 150_000_000);
            cluster.loseAnswers(15, 150_000_000);
            cluster.slowStore(1_200_000, 150_000_000);
            Set<SimulatedAgent> seen = new HashSet<>(cluster.agents());
            int[] newlyBusyAndKilled = {0, 0};
            for (long at = 500_000; at < 150_000_000; at += 500_000) {
                cluster.loop.after(
                        at,
                        () ->
                                cluster.agents().stream()
                                        .filter(
                                                agent ->
                                                        !seen.contains(agent)
                                                                && agent.tasksStarted > 0)
                                        .forEach(
                                                agent -> {
                                                    // Every third machine that has started its
                                                    // first task ends the leader; every second one
                                                    // ends itself.
                                                    seen.add(agent);
                                                    newlyBusyAndKilled[0]++;
                                                    if (newlyBusyAndKilled[0] % 3 == 1) {
                                                        cluster.restartLeader(300_000);
                                                    }
                                                    if (newlyBusyAndKilled[0] % 2 == 0) {
                                                        newlyBusyAndKilled[1]++;
                                                        agent.fail();
                                                    }
                                                }));
            }
            cluster.run(480_000_000);
            assertEquals(List.of(), cluster.unfinishedJobs(), "seed " + seed);
            count.merge("fast boots", cluster.fastBoots, Integer::sum);
            count.merge("machines that started a task", newlyBusyAndKilled[0], Integer::sum);
            count.merge("machines ended", newlyBusyAndKilled[1], Integer::sum);
            count.merge("terms", (int) (cluster.term() - term), Integer::sum);
            count.merge(
                    "late writes",
                    cluster.lateWriteOutcomes[0] + cluster.lateWriteOutcomes[1],
                    Integer::sum);
            count.merge("lost answers", cluster.storeAnswersLost, Integer::sum);
        }
        assertTrue(count.values().stream().allMatch(times -> times >= 10), "" + count);
    }
}
