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
 * Machines that come too fast, too late or without being expected, and machines that are out of
 * touch in one way or another while the leader ends. Each meeting is counted; the rules are checked
 * after each step.
 */
@ExtendWith(PrintReplayCommand.class)
class MachineFaultCombinationsTest {
    private static final long FAULTS_START = 60_000_000;

    enum AgentFault {
        /** It opens no connection; commands reach it and their answers arrive. */
        NO_OUTBOUND((agent, until) -> agent.closedInUntil = until),
        /** Commands reach it, and nothing that it says arrives. */
        MUTE((agent, until) -> agent.muteUntil = until),
        DEAF((agent, until) -> agent.deafUntil = until),
        HANGS((agent, until) -> agent.hungUntil = until);

        private final BiConsumer<SimulatedAgent, Long> effect;

        AgentFault(BiConsumer<SimulatedAgent, Long> effect) {
            this.effect = effect;
        }

        void inject(SimulatedAgent agent, long until) {
            effect.accept(agent, until);
        }
    }

    /** No other trouble than the one that the test makes; leases are 20 s. */
    private static ClusterSimulation startCluster(long seed, Scenario.Times configuredTimes) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        seed,
                        new Scenario(
                                Scenario.LONG,
                                configuredTimes,
                                Version.NOW,
                                Scenario.Flaw.NONE,
                                0));
        cluster.trouble = 0;
        cluster.users.submitUntil(FAULTS_START + 60_000_000);
        cluster.observed.faultFreeFromMicros = FAULTS_START + 150_000_000;
        cluster.run(FAULTS_START);
        return cluster;
    }

    /**
     * One in so many of the machines at which tasks run; the others are those whose leases must not
     * end.
     */
    private static List<SimulatedAgent> injectIntoBusyMachines(
            ClusterSimulation cluster, List<AgentFault> faults, int oneIn, long forMicros) {
        List<SimulatedAgent> faulty = new ArrayList<>();
        List<SimulatedAgent> busy =
                cluster.agents().stream().filter(agent -> !agent.running().isEmpty()).toList();
        for (int i = 0; i < busy.size(); i += oneIn) {
            faults.get(faulty.size() % faults.size())
                    .inject(busy.get(i), cluster.loop.now() + forMicros);
            faulty.add(busy.get(i));
        }
        return faulty;
    }

    private static Set<TaskId> tasksOn(List<SimulatedAgent> agents) {
        Set<TaskId> tasks = new LinkedHashSet<>();
        agents.forEach(agent -> tasks.addAll(agent.running()));
        return tasks;
    }

    /**
     * Those of the tasks that are neither done nor called off, and run on none of these machines.
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
                                        && !cluster.observed.isOver(task.jobId()))
                .toList();
    }

    /**
     * Out of touch for three leases, a tenth or a third of them, also across the end of the leader:
     * no lease of another machine ends, and the work is done elsewhere long before the trouble is
     * over.
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
        for (long seed : Seeds.usually(2)) {
            ClusterSimulation cluster = startCluster(seed, Scenario.LONG);
            List<SimulatedAgent> faulty =
                    injectIntoBusyMachines(
                            cluster,
                            fault == null ? List.of(AgentFault.values()) : List.of(fault),
                            oneIn,
                            60_000_000);
            Set<TaskId> tasks = tasksOn(faulty);
            List<SimulatedAgent> others =
                    cluster.agents().stream().filter(agent -> !faulty.contains(agent)).toList();
            long term = cluster.term();
            if (leaderEnds == 1) {
                cluster.loop.after(3_000_000, () -> cluster.endLeader(12_000_000));
            }
            cluster.run(FAULTS_START + 59_000_000);
            assertEquals(leaderEnds == 1, cluster.term() > term);
            assertEquals(
                    0,
                    others.stream().mapToInt(agent -> agent.killedByLease).sum(),
                    "killed on machines without trouble, seed " + seed);
            assertEquals(
                    List.of(),
                    unfinishedElsewhere(cluster, tasks, faulty),
                    "neither done nor elsewhere after 59 s, seed " + seed);
            faultyCount += faulty.size();
            affectedTasks += tasks.size();
            // One team's limit has room for three of its larger tasks at a time, and seed 2 brings
            // it many.
            cluster.run(FAULTS_START + 420_000_000);
            assertEquals(List.of(), cluster.unfinishedJobs(), "seed " + seed);
        }
        assertTrue(
                faultyCount >= 2 && affectedTasks > 0,
                faultyCount + " machines and " + affectedTasks + " tasks were out of touch");
    }

    /** Shorter than a lease: nothing is killed anywhere. */
    @ParameterizedTest
    @EnumSource
    void faultShorterThanLeaseKillsNoTask(AgentFault fault) {
        for (long seed : Seeds.usually(2)) {
            ClusterSimulation cluster = startCluster(seed, Scenario.LONG);
            int killed = cluster.observed.killedByLease;
            List<SimulatedAgent> faulty =
                    injectIntoBusyMachines(cluster, List.of(fault), 3, 8_000_000);
            assertTrue(!faulty.isEmpty());
            cluster.run(FAULTS_START + 30_000_000);
            assertEquals(killed, cluster.observed.killedByLease);
        }
    }

    /**
     * What answers commands is there, and its tasks go on until its lease ends: no machine is given
     * up before.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 3})
    void machinesWithoutOutboundForLessThanLeaseAreKept(int oneIn) {
        for (long seed : Seeds.usually(3)) {
            ClusterSimulation cluster = startCluster(seed, Scenario.LONG);
            int killed = cluster.observed.killedByLease;
            List<SimulatedAgent> faulty =
                    injectIntoBusyMachines(
                            cluster, List.of(AgentFault.NO_OUTBOUND), oneIn, 15_000_000);
            cluster.run(FAULTS_START + 16_000_000);
            assertEquals(killed, cluster.observed.killedByLease);
            assertEquals(
                    0,
                    faulty.stream().filter(agent -> agent.dead).count(),
                    "given up, seed " + seed);
        }
    }

    /** The checker must be able to fail: a lease that is believed to be over too soon. */
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
     * All leases end; the first leader takes what is recorded for lost on proof, and starts it anew
     * within seconds.
     */
    @Test
    void workRestartsWithinSecondsAfterAllControllersWereDown() {
        for (long seed : Seeds.usually(3)) {
            ClusterSimulation cluster = startCluster(seed, Scenario.LONG);
            int killed = cluster.observed.killedByLease;
            Set<TaskId> tasks = tasksOn(cluster.agents());
            for (int node = 0; node < ClusterSimulation.NODES; node++) {
                cluster.end(node, 32_000_000 + 300_000 * node);
            }
            cluster.run(FAULTS_START + 32_000_000);
            assertTrue(
                    cluster.observed.killedByLease > killed && !tasks.isEmpty(),
                    "no lease ended, seed " + seed);
            int starts = cluster.observed.starts;
            long controllersBack = cluster.loop.now();
            while (cluster.observed.starts == starts
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
                    "neither done nor begun anew, seed " + seed);
        }
    }

    /**
     * Rentals and deletions are carried out seconds late, some of them for a leader that is gone.
     */
    @Test
    void delayedRentalsAndDeletionsLeaveNoUnusedMachines() {
        Map<String, Integer> count = new LinkedHashMap<>();
        for (long seed : Seeds.usually(4)) {
            ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.PLAIN);
            cluster.users.submitUntil(150_000_000);
            cluster.observed.faultFreeFromMicros = 230_000_000;
            cluster.loop.after(3_000_000, () -> cluster.cloudLate(60, 150_000_000));
            for (long at = 25_000_000; at < 160_000_000; at += 14_000_000) {
                // It is given up, and the leader that asks for its deletion ends.
                cluster.loop.after(
                        at - 12_000_000,
                        () ->
                                cluster.agents().stream()
                                        .filter(agent -> !agent.running().isEmpty())
                                        .limit(2)
                                        .forEach(
                                                agent ->
                                                        agent.hungUntil =
                                                                cluster.loop.now() + 25_000_000));
                cluster.loop.after(at, () -> cluster.endLeader(500_000));
            }
            cluster.run(480_000_000);
            assertEquals(List.of(), cluster.unfinishedJobs(), "seed " + seed);
            Set<String> unused = new HashSet<>();
            cluster.agents().stream()
                    .filter(agent -> !agent.dead && agent.started == 0)
                    .forEach(agent -> unused.add(agent.host));
            unused.retainAll(cluster.unexpectedMachines());
            assertEquals(Set.of(), unused, "neither used nor returned, seed " + seed);
            count.merge("unexpected", cluster.unexpectedMachines().size(), Integer::sum);
            count.merge("deleted for others", cluster.deletedForOthers(), Integer::sum);
        }
        assertTrue(
                count.get("unexpected") >= 5 && count.get("deleted for others") >= 3, "" + count);
    }

    /**
     * Machines are up at once and get work while writes and their answers lag; the leader ends, and
     * some of the machines.
     */
    @Test
    void jobsFinishWhenMachinesBootFastWhileWritesLagAndLeadersEnd() {
        Map<String, Integer> count = new LinkedHashMap<>();
        for (long seed : Seeds.usually(3)) {
            ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.PLAIN);
            cluster.users.submitUntil(170_000_000);
            cluster.observed.faultFreeFromMicros = 240_000_000;
            cluster.run(10_000_000);
            long term = cluster.term();
            cluster.quickMachines(150_000_000);
            cluster.writeLate(20, 150_000_000);
            cluster.loseAnswers(15, 150_000_000);
            cluster.slowState(1_200_000, 150_000_000);
            Set<SimulatedAgent> seen = new HashSet<>(cluster.agents());
            int[] newlyBusyAndKilled = {0, 0};
            for (long at = 500_000; at < 150_000_000; at += 500_000) {
                cluster.loop.after(
                        at,
                        () ->
                                cluster.agents().stream()
                                        .filter(agent -> !seen.contains(agent) && agent.started > 0)
                                        .forEach(
                                                agent -> {
                                                    // The first that is seen at work ends its
                                                    // leader, every second one ends itself as well.
                                                    seen.add(agent);
                                                    newlyBusyAndKilled[0]++;
                                                    if (newlyBusyAndKilled[0] % 3 == 1) {
                                                        cluster.endLeader(300_000);
                                                    }
                                                    if (newlyBusyAndKilled[0] % 2 == 0) {
                                                        newlyBusyAndKilled[1]++;
                                                        agent.die();
                                                    }
                                                }));
            }
            cluster.run(480_000_000);
            assertEquals(List.of(), cluster.unfinishedJobs(), "seed " + seed);
            count.merge("quick", cluster.quickBoots, Integer::sum);
            count.merge("at work", newlyBusyAndKilled[0], Integer::sum);
            count.merge("ended", newlyBusyAndKilled[1], Integer::sum);
            count.merge("terms", (int) (cluster.term() - term), Integer::sum);
            count.merge(
                    "late writes",
                    cluster.lateWritesMade[0] + cluster.lateWritesMade[1],
                    Integer::sum);
            count.merge("lost answers", cluster.lostAnswersMade, Integer::sum);
        }
        assertTrue(count.values().stream().allMatch(times -> times >= 10), "" + count);
    }
}
