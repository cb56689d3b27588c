package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Agents that receive nothing (deaf) or from which nothing arrives (mute), and a controller that is
 * isolated with only its agents.
 */
@ExtendWith(PrintReplayCommand.class)
class UnreachableAgentScenariosTest {
    private static final long FAULTS_START = 60_000_000;
    private static final long RECOVERY_MICROS = 600_000_000;

    /** Starts a cluster with 20 s leases and no other faults than those of the test. */
    private static ClusterSimulation startCluster(long seed) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        seed,
                        new Scenario(
                                Scenario.LONG_TIMES,
                                Scenario.LONG_TIMES,
                                Version.CURRENT,
                                Scenario.Flaw.NONE,
                                0));
        cluster.networkFaultPerMille = 0;
        cluster.duplicateHeartbeatPercent = 5;
        cluster.users.submitUntil(FAULTS_START + 60_000_000);
        cluster.observed.faultFreeFromMicros = FAULTS_START + 150_000_000;
        cluster.run(FAULTS_START);
        return cluster;
    }

    private static void assertAllJobsFinish(ClusterSimulation cluster) {
        cluster.run(FAULTS_START + RECOVERY_MICROS);
        assertEquals(List.of(), cluster.unfinishedJobs());
    }

    /**
     * The fault is shorter than a lease: no task is killed and no machine is rented or returned
     * because of it.
     */
    @Test
    void zoneDeafForLessThanLeaseLosesNoTask() {
        int wereDeaf = 0;
        int returned = 0;
        for (long seed : Seeds.first(6)) {
            ClusterSimulation cluster = startCluster(seed);
            int killed = cluster.observed.killedByLease;
            cluster.blockInbound("a", 1, 8_000_000);
            List<SimulatedAgent> deaf =
                    cluster.agents().stream().filter(SimulatedAgent::isInboundBlocked).toList();
            cluster.run(FAULTS_START + 16_000_000);
            assertEquals(killed, cluster.observed.killedByLease);
            wereDeaf += deaf.size();
            returned += (int) deaf.stream().filter(agent -> agent.failed).count();
            assertAllJobsFinish(cluster);
        }
        // Idle machines may be returned meanwhile; in a single run that may be most of the few deaf
        // ones.
        assertTrue(returned * 2 <= wereDeaf, returned + " of " + wereDeaf + " were returned");
    }

    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstFour")
    void workOnDeafMachinesIsDoneElsewhere(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        cluster.blockInbound("a", 2, 60_000_000);
        if (seed % 2 == 0) {
            cluster.loop.after(5_000_000, () -> cluster.restart(cluster.leader()));
        }
        assertAllJobsFinish(cluster);
    }

    /**
     * The checker must detect deaf agents whose reports claim that they receive: commands on the
     * way to a deaf agent are executed once it receives again.
     */
    @Test
    void checkerDetectsDeafAgentsThatAppearReachable() {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed : Seeds.first(20)) {
                                ClusterSimulation cluster =
                                        new ClusterSimulation(
                                                seed,
                                                new Scenario(
                                                        Scenario.LONG_TIMES,
                                                        Scenario.LONG_TIMES,
                                                        Version.CURRENT,
                                                        Scenario.Flaw
                                                                .UNREACHED_AGENTS_REPORT_SENT_TOKENS,
                                                        0));
                                cluster.users.submitUntil(RECOVERY_MICROS, 4);
                                for (long at = FAULTS_START;
                                        at < RECOVERY_MICROS;
                                        at += 20_000_000) {
                                    cluster.loop.after(
                                            at, () -> cluster.blockInbound("a", 1, 12_000_000));
                                }
                                cluster.run(RECOVERY_MICROS);
                            }
                        });
        assertTrue(
                caught.getMessage().contains("ran_twice") || caught.getMessage().contains("quota"),
                caught.getMessage());
    }

    /** A machine that stays deaf costs money but does no work. */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstThree")
    void permanentlyDeafMachinesAreReplaced(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        cluster.blockInbound("b", 3, 2 * RECOVERY_MICROS);
        List<SimulatedAgent> deaf =
                cluster.agents().stream().filter(SimulatedAgent::isInboundBlocked).toList();
        assertTrue(!deaf.isEmpty());
        cluster.run(FAULTS_START + 180_000_000);
        assertTrue(deaf.stream().allMatch(agent -> agent.failed));
        assertAllJobsFinish(cluster);
    }

    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstThree")
    void jobsFinishWhenAgentsOfOneZoneCannotSendMessages(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        cluster.agents().stream()
                .filter(agent -> agent.zone.equals("a"))
                .forEach(
                        agent ->
                                agent.outboundBlockedUntilMicros = cluster.loop.now() + 60_000_000);
        assertAllJobsFinish(cluster);
    }

    /**
     * The isolated leader fails its health check at once, its agents move to the other nodes within
     * a lease, and it no longer leads.
     */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstSix")
    void isolatedLeaderLosesLeadershipAndAgents(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        int isolated = cluster.leader();
        int killed = cluster.observed.killedByLease;
        cluster.isolateNode(isolated, 60_000_000);
        cluster.run(FAULTS_START + 15_000_000);
        assertNotEquals(isolated, cluster.leader());
        assertEquals(503, cluster.status(isolated, "GET", "/healthz", null));
        assertEquals(200, cluster.status(cluster.leader(), "GET", "/healthz", null));
        cluster.run(FAULTS_START + 60_000_000);
        assertEquals(killed, cluster.observed.killedByLease, "tasks killed by leases");
        cluster.run(FAULTS_START + 75_000_000);
        assertEquals(200, cluster.status(isolated, "GET", "/healthz", null));
        assertAllJobsFinish(cluster);
    }

    /**
     * An isolated follower may renew the leases of its zone's agents, but must not keep them from a
     * leader that reaches them.
     */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstThree")
    void isolatedFollowerLosesAgentsToLeader(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        int leader = cluster.leader();
        int isolated = (leader + 1) % ClusterSimulation.NODES;
        int killed = cluster.observed.killedByLease;
        cluster.isolateNode(isolated, 60_000_000);
        cluster.run(FAULTS_START + 20_000_000);
        assertEquals(503, cluster.status(isolated, "GET", "/healthz", null));
        cluster.run(FAULTS_START + 60_000_000);
        assertEquals(leader, cluster.leader());
        assertEquals(killed, cluster.observed.killedByLease, "tasks killed by leases");
        assertAllJobsFinish(cluster);
    }

    /** When the store is down for all nodes, a load balancer gains nothing by moving traffic. */
    @Test
    void nodesStayHealthyDuringFullStoreOutage() {
        ClusterSimulation cluster = startCluster(1);
        cluster.storeOutage(20_000_000);
        cluster.run(FAULTS_START + 12_000_000);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            assertEquals(200, cluster.status(i, "GET", "/healthz", null));
        }
    }

    /** Candidates, voters and former leaders end during elections and restart 50 ms later. */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstFour")
    void leaderIsElectedWhenNodesRestartDuringElections(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        long before = cluster.term();
        cluster.restartAfter(cluster.leader(), 50_000);
        cluster.restartDuringElections(FAULTS_START + 8_000_000);
        cluster.run(FAULTS_START + 20_000_000);
        assertTrue(cluster.term() > before);
        assertNotEquals(-1, cluster.leader());
        assertAllJobsFinish(cluster);
    }
}
