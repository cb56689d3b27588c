package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A zone is partitioned from everything else. Its nodes may then renew the leases of its agents
 * without a leader (delegated renewal). The invariants are checked after each step.
 */
@ExtendWith(PrintReplayCommand.class)
class PartitionedZoneTest {
    private static final long PARTITION_START = 60_000_000;

    /** Longer than a lease, and short enough for delegated renewal to bridge. */
    private static final long BRIDGEABLE_MICROS = 27_000_000;

    private static final long RUN_END = 240_000_000;

    /** Partitions a zone at PARTITION_START. Zone "a" has two of the three nodes, zone "b" one. */
    private static ClusterSimulation startWithPartition(long seed, String zone, long forMicros) {
        ClusterSimulation cluster = startCluster(seed);
        cluster.loop.after(PARTITION_START, () -> cluster.isolateZone(zone, forMicros));
        return cluster;
    }

    /** Starts a cluster without other faults than those of the test. */
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
        cluster.users.submitUntil(RUN_END);
        return cluster;
    }

    /**
     * Runs through the partition; returns how many tasks were killed by expired leases from its
     * start until 2 s after its end.
     */
    private static int killedDuringPartition(ClusterSimulation cluster) {
        cluster.run(PARTITION_START - 1);
        int before = cluster.observed.killedByLease;
        cluster.run(PARTITION_START + BRIDGEABLE_MICROS + 2_000_000);
        return cluster.observed.killedByLease - before;
    }

    /** The lease is 20 s: without delegated renewal every task of the zone would be killed. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "b"})
    void tasksSurviveZonePartitionLongerThanLease(String zone) {
        int kept = 0;
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startWithPartition(seed, zone, BRIDGEABLE_MICROS);
            cluster.run(PARTITION_START - 1);
            kept += cluster.observed.runningTasksInZone(zone);
            assertEquals(0, killedDuringPartition(cluster), "tasks killed, seed " + seed);
            cluster.run(RUN_END);
        }
        assertTrue(kept > 10, "only " + kept + " tasks ran in the zone");
    }

    @Test
    void partitionedLeaderRenewsLeasesInItsZoneWhileAnotherNodeLeads() {
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startCluster(seed);
            cluster.loop.after(
                    PARTITION_START,
                    () -> cluster.isolateZone(cluster.zoneOf(cluster.leader()), BRIDGEABLE_MICROS));
            assertEquals(0, killedDuringPartition(cluster), "tasks killed, seed " + seed);
            cluster.run(RUN_END);
        }
    }

    /**
     * All leases expire within the time in which a cancelled task must stop, however long the
     * partition lasts.
     */
    @ParameterizedTest
    @ValueSource(longs = {55_000_000, 75_000_000})
    void delegatedRenewalStopsBeforeCancellationDeadline(long forMicros) {
        int killed = 0;
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startWithPartition(seed, "b", forMicros);
            cluster.loop.after(PARTITION_START + 200_000, cluster.users::cancelAll);
            cluster.run(RUN_END);
            killed += cluster.observed.killedByLease;
        }
        assertTrue(killed > 0, "no lease expired");
    }

    @Test
    void flappingPartitionDoesNotRestartDelegatedRenewal() {
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startWithPartition(seed, "b", 24_000_000);
            for (int retry = 1; retry < 5; retry++) {
                // The partition heals for less than it takes to reconnect, or for a little more.
                long pause = retry % 2 == 0 ? 120_000 : 900_000;
                cluster.loop.after(
                        PARTITION_START + retry * 24_000_000L + pause,
                        () -> cluster.isolateZone("b", 23_000_000));
            }
            cluster.loop.after(PARTITION_START + 1_000_000, cluster.users::cancelAll);
            cluster.run(RUN_END);
        }
    }

    @Test
    void nodeRejectedOnlyByStoreRenewsNoLeases() {
        for (long seed : Seeds.first(3)) {
            ClusterSimulation cluster = startCluster(seed);
            cluster.loop.after(PARTITION_START, () -> cluster.refuseNodeAtStore(1, 40_000_000));
            cluster.run(RUN_END);
            assertFalse(
                    cluster.renewedLeases[0]
                            || cluster.renewedLeases[1]
                            || cluster.renewedLeases[2],
                    "seed " + seed);
        }
    }

    /**
     * The only node of the zone restarts during the partition: it has lost its state and renews no
     * leases.
     */
    @Test
    void nodeRestartedDuringPartitionRenewsNoLeases() {
        int killed = 0;
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startWithPartition(seed, "b", 30_000_000);
            cluster.loop.after(PARTITION_START + 2_000_000, () -> cluster.restart(1));
            cluster.loop.after(PARTITION_START + 20_000_000, cluster.users::cancelAll);
            cluster.run(RUN_END);
            assertFalse(cluster.renewedLeases[1], "seed " + seed);
            killed += cluster.observed.killedByLease;
        }
        assertTrue(killed > 0, "no lease expired");
    }

    /**
     * A process that renewed leases ends before it can tell the leader. The leader must allow for
     * these renewals until the node's next process has started.
     */
    @Test
    void leaderAccountsForRenewalsByEndedProcess() {
        runWithHungMachines(23_000_000, 23_000_000, 22_500_000);
    }

    /**
     * Machines hang during the partition and resume within a lease that was renewed by delegation.
     */
    @Test
    void invariantsHoldWhenMachinesHangUnderDelegatedLease() {
        runWithHungMachines(BRIDGEABLE_MICROS, 24_000_000, -1);
    }

    /**
     * Times are relative to the start of the partition; a negative restart time means no restart of
     * the zone's node.
     */
    private static void runWithHungMachines(
            long partitionMicros, long hangMicros, long restartMicros) {
        for (long seed : Seeds.first(6)) {
            ClusterSimulation cluster = startWithPartition(seed, "b", partitionMicros);
            if (restartMicros >= 0) {
                cluster.loop.after(PARTITION_START + restartMicros, () -> cluster.restart(1));
            }
            cluster.loop.after(
                    PARTITION_START + hangMicros, () -> cluster.hangAll("b", 18_000_000));
            cluster.run(RUN_END);
        }
    }

    /** One of the zone's two nodes ends during the partition; its agents move to the other. */
    @Test
    void agentsMoveToOtherNodeOfPartitionedZone() {
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startWithPartition(seed, "a", BRIDGEABLE_MICROS);
            int ending = seed % 2 == 0 ? 0 : 2;
            cluster.loop.after(
                    PARTITION_START + 7_000_000,
                    () -> cluster.restartAfter(ending, BRIDGEABLE_MICROS));
            assertEquals(0, killedDuringPartition(cluster), "tasks killed, seed " + seed);
            cluster.run(RUN_END);
        }
    }

    /**
     * While the store is down for all nodes, nobody can be told of a cancellation, and the leader
     * keeps renewing leases. A node that restarts during the outage can't read the agreed features;
     * all leases expired before it learned them from the leader.
     */
    @Test
    void longStoreOutageExpiresNoLease() {
        for (long seed : Seeds.first(3)) {
            ClusterSimulation cluster = startCluster(seed);
            cluster.loop.after(PARTITION_START, () -> cluster.storeOutage(60_000_000));
            cluster.loop.after(
                    PARTITION_START + 10_000_000,
                    () -> cluster.restart((cluster.leader() + 1) % ClusterSimulation.NODES));
            cluster.run(PARTITION_START - 1);
            int before = cluster.observed.killedByLease;
            cluster.run(PARTITION_START + 60_000_000);
            assertEquals(before, cluster.observed.killedByLease, "tasks killed, seed " + seed);
            cluster.run(RUN_END);
        }
    }
}
