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
class MachineFaultCombinationsTest {
    private static final long AT = 60_000_000;

    enum OutOfTouch {
        /** It opens no connection; commands reach it and their answers arrive. */
        CLOSED_IN((worker, until) -> worker.closedInUntil = until),
        /** Commands reach it, and nothing that it says arrives. */
        MUTE((worker, until) -> worker.muteUntil = until),
        DEAF((worker, until) -> worker.deafUntil = until),
        HANGS((worker, until) -> worker.hungUntil = until);

        private final BiConsumer<SimulatedAgent, Long> how;

        OutOfTouch(BiConsumer<SimulatedAgent, Long> how) {
            this.how = how;
        }

        void befall(SimulatedAgent worker, long until) {
            how.accept(worker, until);
        }
    }

    /** So many unless {@code -Dseeds} asks for more. */
    private static long seeds(int usually) {
        return Long.getLong("seeds", usually);
    }

    /** No other trouble than the one that the test makes; leases are 20 s. */
    private static ClusterSimulation day(long seed, Scenario.Times told) {
        ClusterSimulation world =
                new ClusterSimulation(
                        seed,
                        new Scenario(Scenario.LONG, told, Version.NOW, Scenario.Flaw.NONE, 0));
        world.trouble = 0;
        world.users(AT + 60_000_000);
        world.truth.calmFrom = AT + 150_000_000;
        world.run(AT);
        return world;
    }

    /**
     * One in so many of the machines at which tasks run; the others are those whose leases must not
     * end.
     */
    private static List<SimulatedAgent> befall(
            ClusterSimulation world, List<OutOfTouch> kinds, int oneIn, long forMicros) {
        List<SimulatedAgent> troubled = new ArrayList<>();
        List<SimulatedAgent> busy =
                world.workers().stream().filter(worker -> !worker.running().isEmpty()).toList();
        for (int i = 0; i < busy.size(); i += oneIn) {
            kinds.get(troubled.size() % kinds.size())
                    .befall(busy.get(i), world.loop.now() + forMicros);
            troubled.add(busy.get(i));
        }
        return troubled;
    }

    private static Set<TaskId> tasksOn(List<SimulatedAgent> workers) {
        Set<TaskId> tasks = new LinkedHashSet<>();
        workers.forEach(worker -> tasks.addAll(worker.running()));
        return tasks;
    }

    /**
     * Those of the tasks that are neither done nor called off, and run on none of these machines.
     */
    private static List<TaskId> left(
            ClusterSimulation world, Set<TaskId> tasks, List<SimulatedAgent> notOn) {
        Set<TaskId> running =
                tasksOn(
                        world.workers().stream()
                                .filter(worker -> !notOn.contains(worker))
                                .toList());
        return tasks.stream()
                .filter(
                        task ->
                                !running.contains(task)
                                        && !world.truth.isDone(task)
                                        && !world.truth.isOver(task.jobId()))
                .toList();
    }

    /**
     * Out of touch for three leases, a tenth or a third of them, also across the end of the leader:
     * no lease of another machine ends, and the work is done elsewhere long before the trouble is
     * over.
     */
    @ParameterizedTest
    @CsvSource({
        "CLOSED_IN, 10, 0",
        "CLOSED_IN, 3, 1",
        "MUTE, 3, 1",
        "DEAF, 10, 1",
        "DEAF, 3, 0",
        "HANGS, 3, 0",
        "HANGS, 10, 1",
        ", 2, 1"
    })
    void theOthersKeepTheirLeasesAndTheWorkGoesElsewhere(
            OutOfTouch kind, int oneIn, int leaderEnds) {
        int befallen = 0;
        int moved = 0;
        for (long seed = 1; seed <= seeds(2); seed++) {
            ClusterSimulation world = day(seed, Scenario.LONG);
            List<SimulatedAgent> troubled =
                    befall(
                            world,
                            kind == null ? List.of(OutOfTouch.values()) : List.of(kind),
                            oneIn,
                            60_000_000);
            Set<TaskId> tasks = tasksOn(troubled);
            List<SimulatedAgent> others =
                    world.workers().stream().filter(worker -> !troubled.contains(worker)).toList();
            long term = world.term();
            if (leaderEnds == 1) {
                world.loop.after(3_000_000, () -> world.endLeader(12_000_000));
            }
            world.run(AT + 59_000_000);
            assertEquals(leaderEnds == 1, world.term() > term);
            assertEquals(
                    0,
                    others.stream().mapToInt(worker -> worker.killedByLease).sum(),
                    "killed on machines without trouble, seed " + seed);
            assertEquals(
                    List.of(),
                    left(world, tasks, troubled),
                    "neither done nor elsewhere after 59 s, seed " + seed);
            befallen += troubled.size();
            moved += tasks.size();
            // One team's limit has room for three of its larger tasks at a time, and seed 2 brings
            // it many.
            world.run(AT + 420_000_000);
            assertEquals(List.of(), world.unfinished(), "seed " + seed);
        }
        assertTrue(
                befallen >= 2 && moved > 0,
                befallen + " machines and " + moved + " tasks were out of touch");
    }

    /** Shorter than a lease: nothing is killed anywhere. */
    @ParameterizedTest
    @EnumSource
    void withinALeaseNothingIsKilled(OutOfTouch kind) {
        for (long seed = 1; seed <= seeds(2); seed++) {
            ClusterSimulation world = day(seed, Scenario.LONG);
            int killed = world.truth.killedByLease;
            List<SimulatedAgent> troubled = befall(world, List.of(kind), 3, 8_000_000);
            assertTrue(!troubled.isEmpty());
            world.run(AT + 30_000_000);
            assertEquals(killed, world.truth.killedByLease);
        }
    }

    /**
     * What answers commands is there, and its tasks go on until its lease ends: no machine is given
     * up before.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 3})
    void machinesThatAreClosedInForLessThanALeaseAreKept(int oneIn) {
        for (long seed = 1; seed <= seeds(3); seed++) {
            ClusterSimulation world = day(seed, Scenario.LONG);
            int killed = world.truth.killedByLease;
            List<SimulatedAgent> troubled =
                    befall(world, List.of(OutOfTouch.CLOSED_IN), oneIn, 15_000_000);
            world.run(AT + 16_000_000);
            assertEquals(killed, world.truth.killedByLease);
            assertEquals(
                    0,
                    troubled.stream().filter(worker -> worker.dead).count(),
                    "given up, seed " + seed);
        }
    }

    /** The checker must be able to fail: a lease that is believed to be over too soon. */
    @Test
    void leasesBelievedTooShortAreCaught() {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed = 1; seed <= 20; seed++) {
                                ClusterSimulation world =
                                        day(seed, new Scenario.Times(9_000_000, 50_000_000));
                                befall(world, List.of(OutOfTouch.CLOSED_IN), 2, 60_000_000);
                                world.run(AT + 60_000_000);
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
    void afterAllControllersWereAwayWorkBeginsAnewAtOnce() {
        for (long seed = 1; seed <= seeds(3); seed++) {
            ClusterSimulation world = day(seed, Scenario.LONG);
            int killed = world.truth.killedByLease;
            Set<TaskId> tasks = tasksOn(world.workers());
            for (int node = 0; node < ClusterSimulation.NODES; node++) {
                world.end(node, 32_000_000 + 300_000 * node);
            }
            world.run(AT + 32_000_000);
            assertTrue(
                    world.truth.killedByLease > killed && !tasks.isEmpty(),
                    "no lease ended, seed " + seed);
            int starts = world.truth.starts;
            long begins = world.loop.now();
            while (world.truth.starts == starts && world.loop.now() < begins + 60_000_000) {
                world.run(world.loop.now() + 100_000);
            }
            assertTrue(
                    world.loop.now() - begins < 15_000_000,
                    "first start after "
                            + (world.loop.now() - begins) / 1_000_000
                            + " s, seed "
                            + seed);
            world.run(begins + 60_000_000);
            assertEquals(
                    List.of(),
                    left(world, tasks, List.of()),
                    "neither done nor begun anew, seed " + seed);
        }
    }

    /**
     * Rentals and deletions are carried out seconds late, some of them for a leader that is gone.
     */
    @Test
    void rentalsAndDeletionsThatAreCarriedOutLate() {
        Map<String, Integer> count = new LinkedHashMap<>();
        for (long seed = 1; seed <= seeds(4); seed++) {
            ClusterSimulation world = new ClusterSimulation(seed, Scenario.PLAIN);
            world.users(150_000_000);
            world.truth.calmFrom = 230_000_000;
            world.loop.after(3_000_000, () -> world.cloudLate(60, 150_000_000));
            for (long at = 25_000_000; at < 160_000_000; at += 14_000_000) {
                // It is given up, and the leader that asks for its deletion ends.
                world.loop.after(
                        at - 12_000_000,
                        () ->
                                world.workers().stream()
                                        .filter(worker -> !worker.running().isEmpty())
                                        .limit(2)
                                        .forEach(
                                                worker ->
                                                        worker.hungUntil =
                                                                world.loop.now() + 25_000_000));
                world.loop.after(at, () -> world.endLeader(500_000));
            }
            world.run(480_000_000);
            assertEquals(List.of(), world.unfinished(), "seed " + seed);
            Set<String> left = new HashSet<>();
            world.workers().stream()
                    .filter(worker -> !worker.dead && worker.started == 0)
                    .forEach(worker -> left.add(worker.host));
            left.retainAll(world.unexpectedMachines());
            assertEquals(Set.of(), left, "neither used nor returned, seed " + seed);
            count.merge("unexpected", world.unexpectedMachines().size(), Integer::sum);
            count.merge("deleted for others", world.deletedForOthers(), Integer::sum);
        }
        assertTrue(
                count.get("unexpected") >= 5 && count.get("deleted for others") >= 3, "" + count);
    }

    /**
     * Machines are up at once and get work while writes and their answers lag; the leader ends, and
     * some of the machines.
     */
    @Test
    void machinesThatAreUpAtOnceWhileWritesLagAndTheLeaderEnds() {
        Map<String, Integer> count = new LinkedHashMap<>();
        for (long seed = 1; seed <= seeds(3); seed++) {
            ClusterSimulation world = new ClusterSimulation(seed, Scenario.PLAIN);
            world.users(170_000_000);
            world.truth.calmFrom = 240_000_000;
            world.run(10_000_000);
            long term = world.term();
            world.quickMachines(150_000_000);
            world.writeLate(20, 150_000_000);
            world.loseAnswers(15, 150_000_000);
            world.slowState(1_200_000, 150_000_000);
            Set<SimulatedAgent> met = new HashSet<>(world.workers());
            int[] young = {0, 0};
            for (long at = 500_000; at < 150_000_000; at += 500_000) {
                world.loop.after(
                        at,
                        () ->
                                world.workers().stream()
                                        .filter(
                                                worker ->
                                                        !met.contains(worker) && worker.started > 0)
                                        .forEach(
                                                worker -> {
                                                    // The first that is seen at work ends its
                                                    // leader, every second one ends itself as well.
                                                    met.add(worker);
                                                    young[0]++;
                                                    if (young[0] % 3 == 1) {
                                                        world.endLeader(300_000);
                                                    }
                                                    if (young[0] % 2 == 0) {
                                                        young[1]++;
                                                        worker.die();
                                                    }
                                                }));
            }
            world.run(480_000_000);
            assertEquals(List.of(), world.unfinished(), "seed " + seed);
            count.merge("quick", world.quickBoots, Integer::sum);
            count.merge("at work", young[0], Integer::sum);
            count.merge("ended", young[1], Integer::sum);
            count.merge("terms", (int) (world.term() - term), Integer::sum);
            count.merge(
                    "late writes", world.lateWritesMade[0] + world.lateWritesMade[1], Integer::sum);
            count.merge("lost answers", world.lostAnswersMade, Integer::sum);
        }
        assertTrue(count.values().stream().allMatch(times -> times >= 10), "" + count);
    }
}
