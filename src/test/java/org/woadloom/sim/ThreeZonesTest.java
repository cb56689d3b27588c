package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Three zones with a controller in each, which fail in pairs; the rules are checked after each
 * step.
 */
class ThreeZonesTest {
    private static final long AT = 60_000_000;
    private static final long QUIET = 600_000_000;

    private static ClusterSimulation day(long seed) {
        ClusterSimulation world = new ClusterSimulation(seed, Scenario.PLAIN.inThreeZones());
        world.trouble = 0;
        world.copies = 3;
        world.users(AT + 90_000_000);
        world.truth.calmFrom = AT + 180_000_000;
        world.run(AT);
        return world;
    }

    private static void untilAllIsDone(ClusterSimulation world) {
        world.run(AT + QUIET);
        assertEquals(List.of(), world.unfinished());
    }

    private static int with(ClusterSimulation world, boolean leader) {
        return leader ? world.leader() : (world.leader() + 1) % ClusterSimulation.NODES;
    }

    /**
     * The cut is longer than leases may be renewed; meanwhile the other two nodes take over from
     * each other.
     */
    @ParameterizedTest
    @CsvSource({"1,true", "2,false", "3,true", "4,false"})
    void aZoneIsCutWithItsOnlyNodeWhileTheOthersEnd(long seed, boolean leader) {
        ClusterSimulation world = day(seed);
        int inside = with(world, leader);
        world.island(world.yardOf(inside), 60_000_000);
        for (int i = 1; i <= 4; i++) {
            int ending = (inside + 1 + i % 2) % ClusterSimulation.NODES;
            world.loop.after(i * 12_000_000L, () -> world.end(ending, 300_000));
        }
        untilAllIsDone(world);
    }

    /** Both reach the third zone: leadership settles, and nobody's work is lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoZonesCantReachEachOtherWithTheLeaderAtEitherEnd(long seed) {
        ClusterSimulation world = day(seed);
        int killed = world.truth.killedByLease;
        int leader = world.leader();
        world.partition(
                world.yardOf(leader),
                world.yardOf((leader + 1) % ClusterSimulation.NODES),
                35_000_000);
        if (seed % 2 == 0) {
            world.loop.after(10_000_000, () -> world.end(leader, 300_000));
        }
        long before = world.term();
        world.run(AT + 50_000_000);
        assertTrue(world.term() <= before + 1, "terms taken: " + (world.term() - before));
        assertTrue(
                world.truth.killedByLease <= killed + 2,
                "tasks killed: " + (world.truth.killedByLease - killed));
        untilAllIsDone(world);
    }

    /**
     * Every controller ends while the state service is down, and a third of a zone's machines are
     * gone without notice.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allControllersEndInAnOutageAsMachinesAreTaken(long seed) {
        ClusterSimulation world = day(seed);
        world.stateOutage(12_000_000);
        world.loop.after(
                3_000_000,
                () -> {
                    for (int i = 0; i < ClusterSimulation.NODES; i++) {
                        world.end(i, 50_000 + 900_000L * i);
                    }
                    List<SimulatedAgent> workers = world.workers();
                    for (int i = 0; i < workers.size(); i += 3) {
                        workers.get(i).die();
                    }
                });
        untilAllIsDone(world);
    }

    /** Services must spread, one zone is dark, and what comes has only two left. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servicesThatComeWhileAZoneIsCutStartInTheOthers(long seed) {
        ClusterSimulation world = day(seed);
        String dark = world.yardOf(with(world, false));
        world.island(dark, 45_000_000);
        world.users(world.loop.now() + 20_000_000, 3);
        int before = world.rented();
        world.run(AT + 40_000_000);
        assertTrue(world.rented() - before <= 28, "rented meanwhile: " + (world.rented() - before));
        untilAllIsDone(world);
    }

    /**
     * A node is left with its zone's workers while its zone's way to another is cut as well. Its
     * leases end in time for what was cancelled meanwhile; the new leader's first answer renewed
     * them once more and halted nothing (ran_cancelled).
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aNodeIsAloneInAZoneThatCantReachAnother(long seed) {
        ClusterSimulation world = day(seed);
        int alone = with(world, seed % 2 == 0);
        world.isolate(alone, 40_000_000);
        world.partition(
                world.yardOf(alone),
                world.yardOf((alone + 1) % ClusterSimulation.NODES),
                30_000_000);
        untilAllIsDone(world);
    }
}
