package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Processes that end are there again within a fraction of a second; the rules are checked after
 * each step.
 */
class QuickRestartTest {
    private static final long AT = 40_000_000;
    private static final long MINUTE = 60_000_000;
    private static final long QUIET = 300_000_000;

    private static ClusterSimulation day(long seed) {
        ClusterSimulation world = new ClusterSimulation(seed, Scenario.PLAIN);
        world.trouble = 0;
        world.users(AT + MINUTE);
        world.run(AT);
        return world;
    }

    /**
     * It would take its own leadership up again each time, on its former process's grant, and never
     * get to leading.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aLeaderThatKeepsEndingLeavesLeadingToANodeThatStays(long seed) {
        ClusterSimulation world = day(seed);
        int ending = world.leader();
        long before = world.term();
        world.keepsEnding(ending, 300_000, AT + MINUTE);
        world.run(AT + 2_000_000);
        int next = world.leader();
        assertNotEquals(ending, next);
        world.run(AT + MINUTE);
        assertEquals(next, world.leader());
        assertEquals(before + 1, world.term(), "terms taken while a node kept ending");
        assertEquals(0, world.truth.killedByLease, "tasks killed by leases");
        world.run(AT + MINUTE + QUIET);
        assertEquals(List.of(), world.unfinished());
    }

    /** Where nobody else is there the former leader's next process leads. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aProcessThatIsAloneLeadsAgain(long seed) {
        ClusterSimulation world = day(seed);
        int leader = world.leader();
        long before = world.term();
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            world.end(i, i == leader ? 50_000 : 20_000_000);
        }
        world.run(AT + 1_500_000);
        assertEquals(leader, world.leader());
        assertEquals(before + 1, world.term());
        world.run(AT + MINUTE);
        assertEquals(0, world.truth.killedByLease, "tasks killed by leases");
    }
}
