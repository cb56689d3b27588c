package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A zone is cut off from everything; the rules are checked after each step, as on random days. */
@ExtendWith(PrintReplayCommand.class)
class PartitionedZoneTest {
    private static final long PARTITION_START = 60_000_000;

    /** Longer than a lease, and within what care can bridge. */
    private static final long BRIDGEABLE_MICROS = 27_000_000;

    private static final long RUN_END = 240_000_000;

    /** Zone "a" has two of the three nodes, zone "b" one. */
    private static ClusterSimulation startWithPartition(long seed, String zone, long forMicros) {
        ClusterSimulation cluster = startCluster(seed);
        cluster.loop.after(PARTITION_START, () -> cluster.island(zone, forMicros));
        return cluster;
    }

    /** No other trouble than the one that the test makes. */
    private static ClusterSimulation startCluster(long seed) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        seed,
                        new Scenario(
                                Scenario.LONG, Scenario.LONG, Version.NOW, Scenario.Flaw.NONE, 0));
        cluster.trouble = 0;
        cluster.users.submitUntil(RUN_END);
        return cluster;
    }

    /**
     * Lets the cut pass, and tells how many tasks leases killed from its beginning until a little
     * after its end.
     */
    private static int killedDuringPartition(ClusterSimulation cluster) {
        cluster.run(PARTITION_START - 1);
        int before = cluster.observed.killedByLease;
        cluster.run(PARTITION_START + BRIDGEABLE_MICROS + 2_000_000);
        return cluster.observed.killedByLease - before;
    }

    /** The lease is 20 s: without care every task of the zone would be killed. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "b"})
    void tasksSurviveZonePartitionLongerThanLease(String zone) {
        int kept = 0;
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startWithPartition(seed, zone, BRIDGEABLE_MICROS);
            cluster.run(PARTITION_START - 1);
            kept += cluster.observed.tasksIn(zone);
            assertEquals(0, killedDuringPartition(cluster), "tasks killed, seed " + seed);
            cluster.run(RUN_END);
        }
        assertTrue(kept > 10, "only " + kept + " tasks were there to be kept");
    }

    @Test
    void partitionedLeaderRenewsLeasesInItsZoneWhileAnotherNodeLeads() {
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startCluster(seed);
            cluster.loop.after(
                    PARTITION_START,
                    () -> cluster.island(cluster.zoneOf(cluster.leader()), BRIDGEABLE_MICROS));
            assertEquals(0, killedDuringPartition(cluster), "tasks killed, seed " + seed);
            cluster.run(RUN_END);
        }
    }

    /**
     * All leases are over within the time in which a cancelled task must be gone, however long the
     * cut.
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
        assertTrue(killed > 0, "no lease ended");
    }

    @Test
    void flappingPartitionDoesNotRestartDelegatedRenewal() {
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startWithPartition(seed, "b", 24_000_000);
            for (int retry = 1; retry < 5; retry++) {
                // Open for less than it takes to connect again, or for a little more.
                long pause = retry % 2 == 0 ? 120_000 : 900_000;
                cluster.loop.after(
                        PARTITION_START + retry * 24_000_000L + pause,
                        () -> cluster.island("b", 23_000_000));
            }
            cluster.loop.after(PARTITION_START + 1_000_000, cluster.users::cancelAll);
            cluster.run(RUN_END);
        }
    }

    @Test
    void nodeRejectedOnlyByStoreRenewsNoLeases() {
        for (long seed : Seeds.first(3)) {
            ClusterSimulation cluster = startCluster(seed);
            cluster.loop.after(PARTITION_START, () -> cluster.refuseState(1, 40_000_000));
            cluster.run(RUN_END);
            assertFalse(
                    cluster.tookCare[0] || cluster.tookCare[1] || cluster.tookCare[2],
                    "seed " + seed);
        }
    }

    /**
     * The only node of the zone ends and comes back during the cut: it knows nothing, and takes no
     * care.
     */
    @Test
    void nodeRestartedDuringPartitionRenewsNoLeases() {
        int killed = 0;
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startWithPartition(seed, "b", 30_000_000);
            cluster.loop.after(PARTITION_START + 2_000_000, () -> cluster.restart(1));
            cluster.loop.after(PARTITION_START + 20_000_000, cluster.users::cancelAll);
            cluster.run(RUN_END);
            assertFalse(cluster.tookCare[1], "seed " + seed);
            killed += cluster.observed.killedByLease;
        }
        assertTrue(killed > 0, "no lease ended");
    }

    /**
     * A process that cared ends before it can say so: the leader reckons with it until the next one
     * began.
     */
    @Test
    void leaderAccountsForRenewalsByEndedProcess() {
        runWithHungMachines(23_000_000, 23_000_000, 22_500_000);
    }

    /**
     * Machines hang in the middle of the cut and go on within the lease that a caretaker has
     * renewed.
     */
    @Test
    void invariantsHoldWhenMachinesHangUnderDelegatedLease() {
        runWithHungMachines(BRIDGEABLE_MICROS, 24_000_000, -1);
    }

    /**
     * Both times count from the beginning of the cut; the zone's node is started anew unless its
     * time is negative.
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

    /** One of the zone's two nodes ends in the middle of the cut; its workers move to the other. */
    @Test
    void agentsMoveToOtherNodeOfPartitionedZone() {
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startWithPartition(seed, "a", BRIDGEABLE_MICROS);
            int ending = seed % 2 == 0 ? 0 : 2;
            cluster.loop.after(
                    PARTITION_START + 7_000_000, () -> cluster.end(ending, BRIDGEABLE_MICROS));
            assertEquals(0, killedDuringPartition(cluster), "tasks killed, seed " + seed);
            cluster.run(RUN_END);
        }
    }

    /**
     * While the state service is down for all, nobody can be told of a cancellation, and the leader
     * goes on. A node that is started meanwhile can't read what is agreed on; before it learned
     * that from the leader, all leases ended.
     */
    @Test
    void longStoreOutageExpiresNoLease() {
        for (long seed : Seeds.first(3)) {
            ClusterSimulation cluster = startCluster(seed);
            cluster.loop.after(PARTITION_START, () -> cluster.stateOutage(60_000_000));
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
