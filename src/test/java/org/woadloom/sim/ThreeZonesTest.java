package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Three zones with a controller in each, which fail in pairs; the invariants are checked after each
 * step.
 */
@ExtendWith(PrintReplayCommand.class)
class ThreeZonesTest {
    private static final long FAULTS_START = 60_000_000;
    private static final long RECOVERY_MICROS = 600_000_000;

    private static ClusterSimulation startCluster(long seed) {
        ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.DEFAULT.inThreeZones());
        cluster.networkFaultPerMille = 0;
        cluster.duplicateHeartbeatPercent = 3;
        cluster.users.submitUntil(FAULTS_START + 90_000_000);
        cluster.observed.faultFreeFromMicros = FAULTS_START + 180_000_000;
        cluster.run(FAULTS_START);
        return cluster;
    }

    private static void assertAllJobsFinish(ClusterSimulation cluster) {
        cluster.run(FAULTS_START + RECOVERY_MICROS);
        assertEquals(List.of(), cluster.unfinishedJobs());
    }

    private static int nodeIndex(ClusterSimulation cluster, boolean leader) {
        return leader ? cluster.leader() : (cluster.leader() + 1) % ClusterSimulation.NODES;
    }

    /**
     * One zone is partitioned for longer than its node may renew leases by delegation. Meanwhile
     * the nodes of the other two zones restart alternately.
     */
    @ParameterizedTest
    @CsvSource({"1,true", "2,false", "3,true", "4,false"})
    void jobsFinishWhenZoneIsPartitionedWhileOtherNodesRestart(long seed, boolean leader) {
        ClusterSimulation cluster = startCluster(seed);
        int inside = nodeIndex(cluster, leader);
        cluster.isolateZone(cluster.zoneOf(inside), 60_000_000);
        for (int i = 1; i <= 4; i++) {
            int ending = (inside + 1 + i % 2) % ClusterSimulation.NODES;
            cluster.loop.after(i * 12_000_000L, () -> cluster.restartAfter(ending, 300_000));
        }
        assertAllJobsFinish(cluster);
    }

    /**
     * Both zones still reach the third one: at most one new term is taken, and hardly any task is
     * killed.
     */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstFour")
    void atMostOneNewTermWhenLeaderZoneCannotReachAnotherZone(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        int killed = cluster.observed.killedByLease;
        int leader = cluster.leader();
        cluster.partition(
                cluster.zoneOf(leader),
                cluster.zoneOf((leader + 1) % ClusterSimulation.NODES),
                35_000_000);
        if (seed % 2 == 0) {
            cluster.loop.after(10_000_000, () -> cluster.restartAfter(leader, 300_000));
        }
        long before = cluster.term();
        cluster.run(FAULTS_START + 50_000_000);
        assertTrue(cluster.term() <= before + 1, "terms taken: " + (cluster.term() - before));
        assertTrue(
                cluster.observed.killedByLease <= killed + 2,
                "tasks killed: " + (cluster.observed.killedByLease - killed));
        assertAllJobsFinish(cluster);
    }

    /**
     * All controllers end while the store is down, and every third machine is lost without notice.
     */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstThree")
    void jobsFinishAfterControllersEndInOutageAndMachinesAreLost(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        cluster.storeOutage(12_000_000);
        cluster.loop.after(
                3_000_000,
                () -> {
                    for (int i = 0; i < ClusterSimulation.NODES; i++) {
                        cluster.restartAfter(i, 50_000 + 900_000L * i);
                    }
                    List<SimulatedAgent> agents = cluster.agents();
                    for (int i = 0; i < agents.size(); i += 3) {
                        agents.get(i).fail();
                    }
                });
        assertAllJobsFinish(cluster);
    }

    /**
     * Services must spread across zones, but one zone is partitioned; the controllers must not rent
     * machines without bound for them.
     */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstThree")
    void servicesSubmittedDuringZonePartitionStartInOtherZones(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        String partitionedZone = cluster.zoneOf(nodeIndex(cluster, false));
        cluster.isolateZone(partitionedZone, 45_000_000);
        cluster.users.submitUntil(cluster.loop.now() + 20_000_000, 3);
        int before = cluster.rented();
        cluster.run(FAULTS_START + 40_000_000);
        assertTrue(
                cluster.rented() - before <= 28, "machines rented: " + (cluster.rented() - before));
        assertAllJobsFinish(cluster);
    }

    /**
     * A node is isolated with its zone's agents while its zone is also partitioned from another.
     * Its leases must expire in time for tasks cancelled meanwhile; the new leader's first answer
     * used to renew them once more and stopped nothing (ran_cancelled).
     */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstThree")
    void cancelledTasksStopInTimeInZoneOfIsolatedNode(long seed) {
        ClusterSimulation cluster = startCluster(seed);
        int isolated = nodeIndex(cluster, seed % 2 == 0);
        cluster.isolateNode(isolated, 40_000_000);
        cluster.partition(
                cluster.zoneOf(isolated),
                cluster.zoneOf((isolated + 1) % ClusterSimulation.NODES),
                30_000_000);
        assertAllJobsFinish(cluster);
    }
}
