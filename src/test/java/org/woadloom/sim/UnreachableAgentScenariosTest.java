package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Workers that hear nothing, or of whom nothing is heard, and a controller that is left with its
 * workers alone.
 */
class UnreachableAgentScenariosTest {
    private static final long AT = 60_000_000;
    private static final long QUIET = 600_000_000;

    /** The lease is 20 s; no other trouble than the one that the test makes. */
    private static ClusterSimulation day(long seed) {
        ClusterSimulation world =
                new ClusterSimulation(
                        seed,
                        new Scenario(
                                Scenario.LONG, Scenario.LONG, Version.NOW, Scenario.Flaw.NONE, 0));
        world.trouble = 0;
        world.copies = 5;
        world.users(AT + 60_000_000);
        world.truth.calmFrom = AT + 150_000_000;
        world.run(AT);
        return world;
    }

    private static void untilAllIsDone(ClusterSimulation world) {
        world.run(AT + QUIET);
        assertEquals(List.of(), world.unfinished());
    }

    /** Shorter than a lease: nothing is lost, and nothing is rented or returned for it. */
    @Test
    void aZoneThatIsDeafForEightSecondsLosesNothing() {
        int wereDeaf = 0;
        int returned = 0;
        for (long seed = 1; seed <= 6; seed++) {
            ClusterSimulation world = day(seed);
            int killed = world.truth.killedByLease;
            world.deafen("a", 1, 8_000_000);
            List<SimulatedAgent> deaf =
                    world.workers().stream().filter(SimulatedAgent::deaf).toList();
            world.run(AT + 16_000_000);
            assertEquals(killed, world.truth.killedByLease);
            wereDeaf += deaf.size();
            returned += (int) deaf.stream().filter(worker -> worker.dead).count();
            untilAllIsDone(world);
        }
        // Idle ones may have been returned meanwhile: on one day alone that may be most of a few.
        assertTrue(returned * 2 <= wereDeaf, returned + " of " + wereDeaf + " were returned");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workOnMachinesThatAreDeafForThreeLeasesIsDoneElsewhere(long seed) {
        ClusterSimulation world = day(seed);
        world.deafen("a", 2, 60_000_000);
        if (seed % 2 == 0) {
            world.loop.after(5_000_000, () -> world.restart(world.leader()));
        }
        untilAllIsDone(world);
    }

    /**
     * The checker must be able to fail: what is on its way to a deaf worker is executed once it
     * hears again.
     */
    @Test
    void deafWorkersThatSeemToHearAreCaught() {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed = 1; seed <= 20; seed++) {
                                ClusterSimulation world =
                                        new ClusterSimulation(
                                                seed,
                                                new Scenario(
                                                        Scenario.LONG,
                                                        Scenario.LONG,
                                                        Version.NOW,
                                                        Scenario.Flaw.DEAF_SEEM_TO_HEAR,
                                                        0));
                                world.users(QUIET, 4);
                                for (long at = AT; at < QUIET; at += 20_000_000) {
                                    world.loop.after(at, () -> world.deafen("a", 1, 12_000_000));
                                }
                                world.run(QUIET);
                            }
                        });
        assertTrue(
                caught.getMessage().contains("ran_twice") || caught.getMessage().contains("quota"),
                caught.getMessage());
    }

    /** A machine that stays deaf costs money for nothing, and is replaced. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void machinesThatStayDeafAreReplaced(long seed) {
        ClusterSimulation world = day(seed);
        world.deafen("b", 3, 2 * QUIET);
        List<SimulatedAgent> deaf = world.workers().stream().filter(SimulatedAgent::deaf).toList();
        assertTrue(!deaf.isEmpty());
        world.run(AT + 180_000_000);
        assertTrue(deaf.stream().allMatch(worker -> worker.dead));
        untilAllIsDone(world);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void workOnMachinesOfWhichNothingIsHeardIsDoneElsewhere(long seed) {
        ClusterSimulation world = day(seed);
        world.workers().stream()
                .filter(worker -> worker.zone.equals("a"))
                .forEach(worker -> worker.muteUntil = world.loop.now() + 60_000_000);
        untilAllIsDone(world);
    }

    /**
     * It tells the load balancer at once, its workers go to the others within a lease, and it leads
     * no more.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aLeaderWithItsWorkersAloneLosesThemToTheOthers(long seed) {
        ClusterSimulation world = day(seed);
        int alone = world.leader();
        int killed = world.truth.killedByLease;
        world.isolate(alone, 60_000_000);
        world.run(AT + 15_000_000);
        assertNotEquals(alone, world.leader());
        assertEquals(503, world.status(alone, "GET", "/healthz", null));
        assertEquals(200, world.status(world.leader(), "GET", "/healthz", null));
        world.run(AT + 60_000_000);
        assertEquals(killed, world.truth.killedByLease, "tasks killed by leases");
        world.run(AT + 75_000_000);
        assertEquals(200, world.status(alone, "GET", "/healthz", null));
        untilAllIsDone(world);
    }

    /**
     * Alone, a node that does not lead may care for its zone's workers, but not keep them from a
     * leader that reaches them.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aFollowerWithItsWorkersAloneLosesThemToTheLeader(long seed) {
        ClusterSimulation world = day(seed);
        int leader = world.leader();
        int alone = (leader + 1) % ClusterSimulation.NODES;
        int killed = world.truth.killedByLease;
        world.isolate(alone, 60_000_000);
        world.run(AT + 20_000_000);
        assertEquals(503, world.status(alone, "GET", "/healthz", null));
        world.run(AT + 60_000_000);
        assertEquals(leader, world.leader());
        assertEquals(killed, world.truth.killedByLease, "tasks killed by leases");
        untilAllIsDone(world);
    }

    /** In an outage for all, nobody is better off elsewhere. */
    @Test
    void inAnOutageForAllNodesStayHealthy() {
        ClusterSimulation world = day(1);
        world.stateOutage(20_000_000);
        world.run(AT + 12_000_000);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            assertEquals(200, world.status(i, "GET", "/healthz", null));
        }
    }

    /** Candidates, voters and former leaders end in the middle of it, and are back 50 ms later. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void nodesThatEndInTheMiddleOfElectionsEndUpWithOneLeader(long seed) {
        ClusterSimulation world = day(seed);
        long before = world.term();
        world.end(world.leader(), 50_000);
        world.endInElections(AT + 8_000_000);
        world.run(AT + 20_000_000);
        assertTrue(world.term() > before);
        assertNotEquals(-1, world.leader());
        untilAllIsDone(world);
    }
}
