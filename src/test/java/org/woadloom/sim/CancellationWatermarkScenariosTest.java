package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.woadloom.sim.Scenario.Flaw;

/**
 * The store rejects the leader alone, other nodes confirm cancellations, and then the store is down
 * for all nodes for longer than a cancelled task may run, while agents keep reporting to that
 * leader. The leader must learn of the cancellations from watermark reports or stop renewing
 * leases; {@link InvariantChecker} checks {@code ran_cancelled}.
 */
@ExtendWith(PrintReplayCommand.class)
class CancellationWatermarkScenariosTest {
    private static final long FAULTS_START = 60_000_000;
    private static final long REJECTION_MICROS = 2_500_000;
    private static final long OUTAGE_MICROS = 64_000_000;
    private static final long RUN_END = 200_000_000;

    /** What else is lost between the rejection of the leader and the outage. */
    enum AdditionalLoss {
        NOTHING,
        /** Peers' notifications of changed jobs. */
        NOTIFICATIONS,
        PEER_LINKS_UNTIL_OUTAGE,
        PEER_LINKS_INTO_OUTAGE,
        PEER_LINKS_THROUGHOUT,
        /** Commands that nodes send straight to agents. */
        DIRECT_COMMANDS
    }

    private static ClusterSimulation startCluster(long seed, Flaw flaw) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        seed,
                        new Scenario(
                                Scenario.LONG_TIMES,
                                Scenario.LONG_TIMES,
                                Version.CURRENT,
                                flaw,
                                0));
        cluster.networkFaultPerMille = 0;
        cluster.noRandomCancellations = true;
        cluster.users.submitUntil(FAULTS_START);
        cluster.run(FAULTS_START);
        return cluster;
    }

    private static void inject(ClusterSimulation cluster, AdditionalLoss loss) {
        switch (loss) {
            case NOTHING -> {}
            case NOTIFICATIONS -> cluster.changeNotificationsLost = true;
            case DIRECT_COMMANDS -> cluster.directCommandsLost = true;
            case PEER_LINKS_UNTIL_OUTAGE -> cluster.refusePeers(REJECTION_MICROS);
            case PEER_LINKS_INTO_OUTAGE -> cluster.refusePeers(REJECTION_MICROS + 6_000_000);
            case PEER_LINKS_THROUGHOUT -> cluster.refusePeers(REJECTION_MICROS + OUTAGE_MICROS);
        }
    }

    /** The store starts to reject the leader, users cancel all jobs, and the outage follows. */
    private static void rejectLeaderThenFailStore(
            ClusterSimulation cluster, long cancelAfterMicros) {
        cluster.refuseNodeAtStore(cluster.leader(), 14_000_000);
        cluster.loop.after(cancelAfterMicros, cluster.users::cancelAll);
        cluster.loop.after(REJECTION_MICROS, () -> cluster.storeOutage(OUTAGE_MICROS));
    }

    private static int countConfirmedBeforeOutage(AdditionalLoss loss, long seed, Flaw flaw) {
        ClusterSimulation cluster = startCluster(seed, flaw);
        inject(cluster, loss);
        rejectLeaderThenFailStore(cluster, 300_000);
        cluster.run(FAULTS_START + REJECTION_MICROS);
        int confirmed = cluster.observed.cancelledWhileRunning;
        cluster.run(RUN_END);
        return confirmed;
    }

    @ParameterizedTest
    @EnumSource
    void cancelledTasksStopInTimeWhateverElseIsLost(AdditionalLoss loss) {
        int confirmed = 0;
        for (long seed : Seeds.first(3)) {
            confirmed += countConfirmedBeforeOutage(loss, seed, Flaw.NONE);
        }
        if (loss == AdditionalLoss.NOTHING
                || loss == AdditionalLoss.NOTIFICATIONS
                || loss == AdditionalLoss.DIRECT_COMMANDS) {
            assertTrue(confirmed > 3, "only " + confirmed + " confirmed before the outage");
        }
    }

    /**
     * The leader learns of every cancellation from the other nodes, so it keeps renewing leases and
     * no other task is killed.
     */
    @Test
    void noTaskIsKilledByLeaseInStoreOutageIfNodesReachEachOther() {
        int confirmed = 0;
        int kept = 0;
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startCluster(seed, Flaw.NONE);
            cluster.changeNotificationsLost = true;
            cluster.refuseNodeAtStore(cluster.leader(), 14_000_000);
            cluster.loop.after(
                    300_000,
                    () ->
                            cluster.observed.runningJobs().stream()
                                    .limit(6)
                                    .forEach(cluster.users::cancel));
            cluster.loop.after(REJECTION_MICROS, () -> cluster.storeOutage(OUTAGE_MICROS));
            cluster.run(FAULTS_START + REJECTION_MICROS);
            confirmed += cluster.observed.cancelledWhileRunning;
            kept += cluster.observed.runningJobs().size();
            int before = cluster.observed.killedByLease;
            cluster.run(FAULTS_START + REJECTION_MICROS + OUTAGE_MICROS);
            assertEquals(before, cluster.observed.killedByLease, "tasks killed, seed " + seed);
            cluster.run(RUN_END);
        }
        assertTrue(confirmed > 3, "only " + confirmed + " confirmed before the outage");
        assertTrue(kept > 12, "only " + kept + " jobs ran on");
    }

    /**
     * An outage ends for all nodes but the leader, users cancel all jobs, and a second outage
     * follows.
     */
    @Test
    void cancelledTasksStopInTimeWhenOutageEndsForAllButLeader() {
        int confirmed = 0;
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startCluster(seed, Flaw.NONE);
            cluster.changeNotificationsLost = true;
            int leader = cluster.leader();
            cluster.storeOutage(20_000_000);
            cluster.loop.after(18_000_000, () -> cluster.refuseNodeAtStore(leader, 90_000_000));
            cluster.loop.after(20_200_000, cluster.users::cancelAll);
            cluster.loop.after(23_000_000, () -> cluster.storeOutage(OUTAGE_MICROS));
            cluster.run(FAULTS_START + 23_000_000);
            confirmed += cluster.observed.cancelledWhileRunning;
            cluster.run(RUN_END);
        }
        assertTrue(confirmed > 3, "only " + confirmed + " confirmed before the outage");
    }

    /**
     * The nodes that confirmed the cancellations end at various points after that, and restart
     * without their in-memory state soon, late or after the outage.
     */
    @ParameterizedTest
    @CsvSource({
        "350, 100",
        "400, 6000",
        "600, 300",
        "1000, 60000",
        "2000, 300",
        "2600, 300",
        "3000, 5000",
        "9000, 300",
        "9000, 20000"
    })
    void cancelledTasksStopInTimeWhenConfirmingNodesRestart(long endMillis, long downMillis) {
        for (long seed : Seeds.first(2)) {
            ClusterSimulation cluster = startCluster(seed, Flaw.NONE);
            cluster.changeNotificationsLost = true;
            int leader = cluster.leader();
            rejectLeaderThenFailStore(cluster, 300_000);
            for (int node = 0; node < ClusterSimulation.NODES; node++) {
                if (node != leader) {
                    int ending = node;
                    cluster.loop.after(
                            endMillis * 1000,
                            () -> cluster.restartAfter(ending, downMillis * 1000));
                }
            }
            cluster.run(RUN_END);
        }
    }

    /**
     * Until the outage is over the leader can't record that the dependents of a cancelled job are
     * cancelled too. That is later than their users may be told that these jobs are queued ({@code
     * orphaned}).
     */
    @Test
    void dependentsOfCancelledJobAreNotReportedQueuedDuringOutage() {
        int polled = 0;
        for (long seed : Seeds.first(6)) {
            ClusterSimulation cluster =
                    new ClusterSimulation(
                            seed,
                            new Scenario(
                                    Scenario.LONG_TIMES,
                                    Scenario.LONG_TIMES,
                                    Version.CURRENT,
                                    Flaw.NONE,
                                    0));
            cluster.networkFaultPerMille = 0;
            cluster.noRandomCancellations = true;
            cluster.users.submitUntil(FAULTS_START);
            for (int chain = 0; chain < 3; chain++) {
                cluster.users.submitPipelinesUntil(FAULTS_START);
            }
            cluster.run(FAULTS_START);
            rejectLeaderThenFailStore(cluster, 300_000);
            cluster.run(FAULTS_START + REJECTION_MICROS);
            polled += cluster.observed.openJobsWithCancelledDependency();
            cluster.run(RUN_END);
        }
        assertTrue(polled > 3, "only " + polled + " jobs waited for a cancelled one");
    }

    /**
     * The store rejects the leader and fails twice in a row; the leader may have changed in
     * between.
     */
    @Test
    void cancelledTasksStopInTimeAcrossTwoStoreOutages() {
        for (long seed : Seeds.first(3)) {
            ClusterSimulation cluster = startCluster(seed, Flaw.NONE);
            cluster.refuseLeaderThenStoreOutage(2_000_000, OUTAGE_MICROS);
            cluster.users.submitUntil(FAULTS_START + 150_000_000);
            cluster.loop.after(
                    87_000_000,
                    () -> cluster.refuseLeaderThenStoreOutage(1_500_000, OUTAGE_MICROS));
            cluster.run(FAULTS_START + 300_000_000);
        }
    }

    /**
     * A new leader is elected before the outage while the former leader still serves the agents
     * that reach it.
     */
    @Test
    void cancelledTasksStopInTimeWhenLeaderChangesBeforeOutage() {
        for (long seed : Seeds.first(4)) {
            ClusterSimulation cluster = startCluster(seed, Flaw.NONE);
            cluster.refusePeers(40_000_000);
            cluster.refuseNodeAtStore(cluster.leader(), 100_000_000);
            cluster.loop.after(6_000_000, cluster.users::cancelAll);
            cluster.loop.after(8_000_000, () -> cluster.storeOutage(OUTAGE_MICROS));
            cluster.run(RUN_END);
        }
    }

    /**
     * The checker must detect nodes that report no cancellations, so that the leader does not learn
     * of any.
     */
    @Test
    void checkerDetectsNodesThatReportNoCancellations() {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed : Seeds.first(6)) {
                                countConfirmedBeforeOutage(
                                        AdditionalLoss.NOTIFICATIONS,
                                        seed,
                                        Flaw.CONFIRMS_UNNAMED_CANCELLATIONS);
                            }
                        });
        assertTrue(caught.getMessage().contains("ran_cancelled"), caught.getMessage());
    }
}
