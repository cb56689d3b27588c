package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A zone is cut off from everything; the rules are checked after each step, as on random days. */
class PartitionedZoneTest {
    private static final long CUT_AT = 60_000_000;

    /** Longer than a lease, and within what care can bridge. */
    private static final long BRIDGED = 27_000_000;

    private static final long QUIET = 240_000_000;

    /** Zone "a" has two of the three nodes, zone "b" one. */
    private static ClusterSimulation cut(long seed, String zone, long forMicros) {
        ClusterSimulation world = day(seed);
        world.loop.after(CUT_AT, () -> world.island(zone, forMicros));
        return world;
    }

    /** No other trouble than the one that the test makes. */
    private static ClusterSimulation day(long seed) {
        ClusterSimulation world =
                new ClusterSimulation(
                        seed,
                        new Scenario(
                                Scenario.LONG, Scenario.LONG, Version.NOW, Scenario.Flaw.NONE, 0));
        world.trouble = 0;
        world.users(QUIET);
        return world;
    }

    /**
     * Lets the cut pass, and tells how many tasks leases killed from its beginning until a little
     * after its end.
     */
    private static int killedMeanwhile(ClusterSimulation world) {
        world.run(CUT_AT - 1);
        int before = world.truth.killedByLease;
        world.run(CUT_AT + BRIDGED + 2_000_000);
        return world.truth.killedByLease - before;
    }

    /** The lease is 20 s: without care every task of the zone would be killed. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "b"})
    void workGoesOnInAZoneThatIsCutOffForLongerThanALease(String zone) {
        int kept = 0;
        for (long seed = 1; seed <= 4; seed++) {
            ClusterSimulation world = cut(seed, zone, BRIDGED);
            world.run(CUT_AT - 1);
            kept += world.truth.tasksIn(zone);
            assertEquals(0, killedMeanwhile(world), "tasks killed, seed " + seed);
            world.run(QUIET);
        }
        assertTrue(kept > 10, "only " + kept + " tasks were there to be kept");
    }

    @Test
    void aLeaderThatIsCutOffCaresForItsOwnWorkersAndAnotherLeadsMeanwhile() {
        for (long seed = 1; seed <= 4; seed++) {
            ClusterSimulation world = day(seed);
            world.loop.after(CUT_AT, () -> world.island(world.yardOf(world.leader()), BRIDGED));
            assertEquals(0, killedMeanwhile(world), "tasks killed, seed " + seed);
            world.run(QUIET);
        }
    }

    /**
     * All leases are over within the time in which a cancelled task must be gone, however long the
     * cut.
     */
    @ParameterizedTest
    @ValueSource(longs = {55_000_000, 75_000_000})
    void careEndsInTimeWhereTheCutDoesNot(long forMicros) {
        int killed = 0;
        for (long seed = 1; seed <= 4; seed++) {
            ClusterSimulation world = cut(seed, "b", forMicros);
            world.loop.after(CUT_AT + 200_000, world::cancelEverything);
            world.run(QUIET);
            killed += world.truth.killedByLease;
        }
        assertTrue(killed > 0, "no lease ended");
    }

    @Test
    void aCutThatOpensAndClosesStartsNoCareAnew() {
        for (long seed = 1; seed <= 4; seed++) {
            ClusterSimulation world = cut(seed, "b", 24_000_000);
            for (int again = 1; again < 5; again++) {
                // Open for less than it takes to connect again, or for a little more.
                long pause = again % 2 == 0 ? 120_000 : 900_000;
                world.loop.after(
                        CUT_AT + again * 24_000_000L + pause, () -> world.island("b", 23_000_000));
            }
            world.loop.after(CUT_AT + 1_000_000, world::cancelEverything);
            world.run(QUIET);
        }
    }

    @Test
    void aNodeThatOnlyTheStateServiceRefusesTakesNoCare() {
        for (long seed = 1; seed <= 3; seed++) {
            ClusterSimulation world = day(seed);
            world.loop.after(CUT_AT, () -> world.refuseState(1, 40_000_000));
            world.run(QUIET);
            assertFalse(
                    world.tookCare[0] || world.tookCare[1] || world.tookCare[2], "seed " + seed);
        }
    }

    /**
     * The only node of the zone ends and comes back during the cut: it knows nothing, and takes no
     * care.
     */
    @Test
    void aNodeThatIsStartedAnewTakesNoCare() {
        int killed = 0;
        for (long seed = 1; seed <= 4; seed++) {
            ClusterSimulation world = cut(seed, "b", 30_000_000);
            world.loop.after(CUT_AT + 2_000_000, () -> world.restart(1));
            world.loop.after(CUT_AT + 20_000_000, world::cancelEverything);
            world.run(QUIET);
            assertFalse(world.tookCare[1], "seed " + seed);
            killed += world.truth.killedByLease;
        }
        assertTrue(killed > 0, "no lease ended");
    }

    /**
     * A process that cared ends before it can say so: the leader reckons with it until the next one
     * began.
     */
    @Test
    void theCareOfAProcessThatEndedIsReckonedWith() {
        hangUnderARenewedLease(23_000_000, 23_000_000, 22_500_000);
    }

    /**
     * Machines hang in the middle of the cut and go on within the lease that a caretaker has
     * renewed.
     */
    @Test
    void hungMachinesGoOnUnderARenewedLease() {
        hangUnderARenewedLease(BRIDGED, 24_000_000, -1);
    }

    /**
     * Both times count from the beginning of the cut; the zone's node is started anew unless its
     * time is negative.
     */
    private static void hangUnderARenewedLease(
            long cutMicros, long hangMicros, long restartMicros) {
        for (long seed = 1; seed <= 6; seed++) {
            ClusterSimulation world = cut(seed, "b", cutMicros);
            if (restartMicros >= 0) {
                world.loop.after(CUT_AT + restartMicros, () -> world.restart(1));
            }
            world.loop.after(CUT_AT + hangMicros, () -> world.hangAll("b", 18_000_000));
            world.run(QUIET);
        }
    }

    /** One of the zone's two nodes ends in the middle of the cut; its workers move to the other. */
    @Test
    void workersMoveBetweenTheNodesOfTheZone() {
        for (long seed = 1; seed <= 4; seed++) {
            ClusterSimulation world = cut(seed, "a", BRIDGED);
            int ending = seed % 2 == 0 ? 0 : 2;
            world.loop.after(CUT_AT + 7_000_000, () -> world.end(ending, BRIDGED));
            assertEquals(0, killedMeanwhile(world), "tasks killed, seed " + seed);
            world.run(QUIET);
        }
    }

    /**
     * While the state service is down for all, nobody can be told of a cancellation, and the leader
     * goes on. A node that is started meanwhile can't read what is agreed on; before it learned
     * that from the leader, all leases ended.
     */
    @Test
    void aLongOutageOfTheStateServiceEndsNoLease() {
        for (long seed = 1; seed <= 3; seed++) {
            ClusterSimulation world = day(seed);
            world.loop.after(CUT_AT, () -> world.stateOutage(60_000_000));
            world.loop.after(
                    CUT_AT + 10_000_000,
                    () -> world.restart((world.leader() + 1) % ClusterSimulation.NODES));
            world.run(CUT_AT - 1);
            int before = world.truth.killedByLease;
            world.run(CUT_AT + 60_000_000);
            assertEquals(before, world.truth.killedByLease, "tasks killed, seed " + seed);
            world.run(QUIET);
        }
    }
}
