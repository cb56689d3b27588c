package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Node processes restart within a fraction of a second; the invariants are checked after each step.
 */
@ExtendWith(PrintReplayCommand.class)
class QuickRestartTest {
    private static final long FAULTS_START = 40_000_000;
    private static final long MINUTE = 60_000_000;
    private static final long FAULT_FREE_MICROS = 300_000_000;

    private static ClusterSimulation startCluster(long seed) {
        ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.DEFAULT);
        cluster.networkFaultPerMille = 0;
        cluster.users.submitUntil(FAULTS_START + MINUTE);
        cluster.run(FAULTS_START);
        return cluster;
    }

    /**
     * A leader that restarts at once would resume its leadership on its former process's lease each
     * time, and never get to lead.
     */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstThree")
    void crashLoopingLeaderYieldsToStableNode(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        int ending = cluster.leader();
        long before = cluster.term();
        cluster.restartRepeatedly(ending, 300_000, FAULTS_START + MINUTE);
        cluster.run(FAULTS_START + 2_000_000);
        int next = cluster.leader();
        assertNotEquals(ending, next);
        cluster.run(FAULTS_START + MINUTE);
        assertEquals(next, cluster.leader());
        assertEquals(before + 1, cluster.term(), "terms taken while a node kept ending");
        assertEquals(0, cluster.observed.killedByLease, "tasks killed by leases");
        cluster.run(FAULTS_START + MINUTE + FAULT_FREE_MICROS);
        assertEquals(List.of(), cluster.unfinishedJobs());
    }

    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstThree")
    void restartedLeaderLeadsAgainWhenNoOtherNodeRuns(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        int leader = cluster.leader();
        long before = cluster.term();
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            cluster.restartAfter(i, i == leader ? 50_000 : 20_000_000);
        }
        cluster.run(FAULTS_START + 1_500_000);
        assertEquals(leader, cluster.leader());
        assertEquals(before + 1, cluster.term());
        cluster.run(FAULTS_START + MINUTE);
        assertEquals(0, cluster.observed.killedByLease, "tasks killed by leases");
    }
}
