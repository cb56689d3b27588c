package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.woadloom.sim.Scenario.Flaw;
import org.woadloom.store.StoreKeys;

/**
 * Users cancel four jobs a second while leadership changes. {@link InvariantChecker} checks after
 * each step that no cancelled task runs for too long; these tests check that the fault occurred and
 * how long users waited for the confirmation.
 */
@ExtendWith(PrintReplayCommand.class)
class CancellationFaultCombinationsTest {
    private static final long SECOND = 1_000_000;
    private static final long FAULTS_START = 30 * SECOND;
    private static final int SEEDS = 1;

    /** Cancels jobs at random nodes and retries until each cancellation is confirmed. */
    private static final class CancellingUsers {
        final ClusterSimulation cluster;
        final Set<String> requestedJobs = new HashSet<>();
        final List<Long> waitMicros = new ArrayList<>();
        final Map<String, Integer> rejections = new TreeMap<>();
        int unconfirmed;

        CancellingUsers(ClusterSimulation cluster) {
            this.cluster = cluster;
        }

        void cancelUntil(long end) {
            if (cluster.loop.now() < end) {
                cancelOne();
                cluster.loop.after(SECOND / 4, () -> cancelUntil(end));
            }
        }

        /** Cancels a running job, or a queued one if none runs. */
        void cancelOne() {
            List<String> jobs = new ArrayList<>(cluster.observed.runningJobs());
            jobs.addAll(cluster.observed.acceptedJobs());
            jobs.removeIf(
                    jobId ->
                            requestedJobs.contains(jobId)
                                    || cluster.observed.hasFinalStatus(jobId));
            if (!jobs.isEmpty()) {
                requestedJobs.add(jobs.get(0));
                unconfirmed++;
                cluster.observed.recordCancelRequest(jobs.get(0));
                sendCancel(jobs.get(0), cluster.loop.now());
            }
        }

        private void sendCancel(String jobId, long since) {
            long sent = cluster.loop.now();
            int node = cluster.random.nextInt(ClusterSimulation.NODES);
            cluster.sendToNode(
                    "users",
                    node,
                    "POST",
                    "/v1/jobs/" + jobId + "/cancel",
                    Map.of(),
                    5 * SECOND,
                    (status, body) -> {
                        cluster.users.onAnswer(UserRequest.CANCEL, jobId, sent, status, body);
                        if (status == 200) {
                            unconfirmed--;
                            waitMicros.add(cluster.loop.now() - since);
                        } else {
                            rejections.merge(status + " " + body.get("error"), 1, Integer::sum);
                            // Time spent on a node that is down, unreachable or isolated does not
                            // count as waiting.
                            boolean served = status > 0 && !cluster.isIsolated(node);
                            cluster.loop.after(
                                    200_000,
                                    () -> sendCancel(jobId, served ? since : cluster.loop.now()));
                        }
                    });
        }

        long longestWaitMicros() {
            return waitMicros.stream().mapToLong(wait -> wait).max().orElse(0);
        }

        @Override
        public String toString() {
            return waitMicros.size()
                    + " confirmed, "
                    + unconfirmed
                    + " unconfirmed, longest wait "
                    + longestWaitMicros()
                    + " us; rejected with "
                    + rejections;
        }
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
        cluster.users.submitUntil(FAULTS_START + 30 * SECOND, 6);
        cluster.run(FAULTS_START);
        return cluster;
    }

    private static CancellingUsers startCancelling(ClusterSimulation cluster, long forMicros) {
        CancellingUsers users = new CancellingUsers(cluster);
        users.cancelUntil(cluster.loop.now() + forMicros);
        return users;
    }

    enum LeaderChange {
        ROLLING_RESTART(1, 700) {
            @Override
            void inject(ClusterSimulation cluster) {
                for (int node = 0; node < ClusterSimulation.NODES; node++) {
                    int ending = node;
                    cluster.loop.after(
                            node * 5 * SECOND, () -> cluster.restartAfter(ending, 300_000));
                }
            }
        },
        LEADER_ENDS(1, 4000) {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.restartLeader(8 * SECOND);
            }
        },
        LEADER_RESTARTS_AT_ONCE(1, 600) {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.restartLeader(200_000);
            }
        },
        LEADER_FREEZES(1, 6500) {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.freeze(cluster.leader(), 9 * SECOND);
            }
        },
        LEADER_ISOLATED(1, 6500) {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.isolateNode(cluster.leader(), 9 * SECOND);
            }
        },
        STORE_REJECTS_LEADER(1, 4500) {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.refuseNodeAtStore(cluster.leader(), 9 * SECOND);
            }
        },
        TEN_CHANGES(10, 1500) {
            @Override
            void inject(ClusterSimulation cluster) {
                for (int i = 0; i < 10; i++) {
                    cluster.loop.after(
                            i * 3 * SECOND,
                            () -> cluster.restartLeader(100_000 + cluster.random.nextInt(900_000)));
                }
            }
        },
        ALL_END_ONE_RESTARTS(1, 17000) {
            @Override
            void inject(ClusterSimulation cluster) {
                for (int node = 0; node < ClusterSimulation.NODES; node++) {
                    cluster.restartAfter(node, node == 0 ? 300_000 : 25 * SECOND);
                }
            }
        };

        final int minTerms;
        final long maxWaitMicros;

        /**
         * @param minTerms how many new terms the change must cause at least
         * @param maxWaitMillis within which time every cancellation must be confirmed
         */
        LeaderChange(int minTerms, long maxWaitMillis) {
            this.minTerms = minTerms;
            maxWaitMicros = maxWaitMillis * 1_000;
        }

        abstract void inject(ClusterSimulation cluster);
    }

    /**
     * Users cancel four jobs a second; each cancellation is confirmed within the bound of the
     * change, and no cancelled task runs for too long.
     */
    @ParameterizedTest
    @EnumSource
    void cancellationsAreConfirmedInTimeDuringLeaderChange(LeaderChange change) {
        for (long seed : Seeds.firstOrConfigured(SEEDS)) {
            ClusterSimulation cluster = startCluster(seed, Flaw.NONE);
            long term = cluster.term();
            CancellingUsers users = startCancelling(cluster, 35 * SECOND);
            cluster.loop.after(2 * SECOND, () -> change.inject(cluster));
            cluster.run(FAULTS_START + 75 * SECOND);
            assertTrue(
                    cluster.term() - term >= change.minTerms,
                    "only " + (cluster.term() - term) + " new terms, seed " + seed);
            assertTrue(
                    cluster.observed.cancelledWhileRunning > 15,
                    "only "
                            + cluster.observed.cancelledWhileRunning
                            + " cancelled while running, seed "
                            + seed);
            assertEquals(0, users.unconfirmed, users + ", seed " + seed);
            assertTrue(users.longestWaitMicros() < change.maxWaitMicros, users + ", seed " + seed);
        }
    }

    /**
     * An additional fault while the store rejects the leader alone, one second before the store is
     * down for all nodes.
     */
    enum AdditionalFault {
        NOTHING,
        /** Peers' notifications of changed jobs are lost, as with all faults below. */
        NOTIFICATIONS_LOST,
        PEER_LINKS_DOWN,
        PEER_LINKS_DOWN_FROM_START,
        OTHER_NODE_REJECTED,
        OTHER_NODE_ISOLATED,
        CONFIRMING_NODES_RESTART
    }

    /**
     * Cancels jobs from 0.2 s before to 0.2 s after the store starts to reject the leader; returns
     * how many cancellations of running jobs were confirmed before the outage.
     */
    private static int cancelAsStoreRejectsLeader(
            AdditionalFault fault, long seed, Scenario.Times configuredTimes, Flaw flaw) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        seed,
                        new Scenario(
                                Scenario.LONG_TIMES, configuredTimes, Version.CURRENT, flaw, 0));
        cluster.networkFaultPerMille = 0;
        cluster.noRandomCancellations = true;
        cluster.users.submitUntil(FAULTS_START, 6);
        cluster.run(FAULTS_START);
        CancellingUsers users = new CancellingUsers(cluster);
        int leader = cluster.leader();
        for (long at = 0; at < 400_000; at += 20_000) {
            cluster.loop.after(at, users::cancelOne);
        }
        cluster.changeNotificationsLost = fault != AdditionalFault.NOTHING;
        if (fault == AdditionalFault.PEER_LINKS_DOWN_FROM_START) {
            cluster.refusePeers(90 * SECOND);
        }
        cluster.loop.after(
                200_000,
                () -> {
                    cluster.refuseNodeAtStore(leader, 90 * SECOND);
                    switch (fault) {
                        case PEER_LINKS_DOWN -> cluster.refusePeers(90 * SECOND);
                        case OTHER_NODE_REJECTED ->
                                cluster.refuseSecondNodeAtStore(
                                        (leader + 1) % ClusterSimulation.NODES, 90 * SECOND);
                        case OTHER_NODE_ISOLATED ->
                                cluster.isolateNode(
                                        (leader + 1) % ClusterSimulation.NODES, 20 * SECOND);
                        case CONFIRMING_NODES_RESTART ->
                                cluster.loop.after(
                                        350_000,
                                        () -> {
                                            cluster.restartAfter(
                                                    (leader + 1) % ClusterSimulation.NODES,
                                                    300_000);
                                            cluster.restartAfter(
                                                    (leader + 2) % ClusterSimulation.NODES,
                                                    20 * SECOND);
                                        });
                        default -> {}
                    }
                });
        cluster.loop.after(1_200_000, () -> cluster.storeOutage(64 * SECOND));
        cluster.run(FAULTS_START + 1_200_000);
        int confirmed = cluster.observed.cancelledWhileRunning;
        cluster.run(FAULTS_START + 90 * SECOND);
        assertEquals(0, users.unconfirmed, users + ", seed " + seed);
        return confirmed;
    }

    @ParameterizedTest
    @EnumSource
    void cancellationsAreConfirmedWhenStoreStartsRejectingLeader(AdditionalFault fault) {
        int confirmed = 0;
        for (long seed : Seeds.firstOrConfigured(SEEDS + 1)) {
            confirmed += cancelAsStoreRejectsLeader(fault, seed, Scenario.LONG_TIMES, Flaw.NONE);
        }
        // With the peer links down from the start, nodes can confirm a cancellation that the leader
        // lacks only where the leader relies on no promise of theirs.
        assertTrue(
                confirmed > (fault == AdditionalFault.PEER_LINKS_DOWN_FROM_START ? 2 : 8),
                "only " + confirmed + " confirmed before the outage");
    }

    /**
     * The store is slow, then rejects the leader alone, then is down for all nodes, while users
     * cancel jobs and query them at all nodes.
     */
    @Test
    void cancellationsAreConfirmedWhenSlowStoreRejectsLeaderAndThenGoesDown() {
        int confirmed = 0;
        for (long seed : Seeds.firstOrConfigured(SEEDS + 1)) {
            ClusterSimulation cluster = startCluster(seed, Flaw.NONE);
            cluster.pollAfterChanges(25 * SECOND);
            cluster.slowStore(900_000, 12 * SECOND);
            CancellingUsers users = startCancelling(cluster, 20 * SECOND);
            cluster.loop.after(
                    8 * SECOND, () -> cluster.refuseLeaderThenStoreOutage(4 * SECOND, 60 * SECOND));
            cluster.run(FAULTS_START + 12 * SECOND);
            confirmed += cluster.observed.cancelledWhileRunning;
            cluster.run(FAULTS_START + 100 * SECOND);
            assertTrue(
                    cluster.pollBursts > 10,
                    "only " + cluster.pollBursts + " reads at all nodes, seed " + seed);
            assertEquals(0, users.unconfirmed, users + ", seed " + seed);
        }
        assertTrue(confirmed > 3, "only " + confirmed + " confirmed before the outage");
    }

    /**
     * The fault of the leader while many jobs are cancelled within 0.2 s and some of their machines
     * hang.
     */
    enum LeaderFault {
        ENDED {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.restartLeader(3 * SECOND);
            }
        },
        FROZEN {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.freeze(cluster.leader(), 12 * SECOND);
            }
        },
        ISOLATED {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.isolateNode(cluster.leader(), 40 * SECOND);
            }
        },
        REJECTED_BY_STORE {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.refuseNodeAtStore(cluster.leader(), 40 * SECOND);
            }
        };

        abstract void inject(ClusterSimulation cluster);
    }

    @ParameterizedTest
    @EnumSource
    void cancelledTasksStopInTimeWhenMachinesHangAndLeaderFails(LeaderFault fault) {
        int confirmed = 0;
        int cancelled = 0;
        for (long seed : Seeds.firstOrConfigured(SEEDS)) {
            ClusterSimulation cluster = startCluster(seed, Flaw.NONE);
            for (int i = 0; i < 2; i++) {
                cancelled += cluster.cancelRunningJobs(6, 5 * SECOND + i * 9 * SECOND);
                cluster.loop.after(
                        i * 60_000,
                        () -> {
                            if (cluster.stored("leader") != null) {
                                fault.inject(cluster);
                            }
                        });
                cluster.run(cluster.loop.now() + 43 * SECOND);
            }
            confirmed += cluster.observed.cancelledWhileRunning;
            cluster.run(cluster.loop.now() + 20 * SECOND);
        }
        assertTrue(cancelled > 8, "only " + cancelled + " cancelled");
        assertTrue(confirmed > 8, "only " + confirmed + " confirmed while running");
    }

    /**
     * Transactions commit but their answers are lost. Each elected node must stay leader, and the
     * announcements of all nodes must be found in the store.
     */
    @Test
    void lostTransactionAnswersCauseNoExtraTerms() {
        for (long seed : Seeds.firstOrConfigured(SEEDS)) {
            ClusterSimulation cluster = startCluster(seed, Flaw.NONE);
            long term = cluster.term();
            cluster.loseAnswers(40, 35 * SECOND);
            CancellingUsers users = startCancelling(cluster, 30 * SECOND);
            for (int i = 0; i < 6; i++) {
                cluster.loop.after(i * 5 * SECOND, () -> cluster.restartLeader(300_000));
            }
            cluster.run(FAULTS_START + 90 * SECOND);
            assertTrue(
                    cluster.storeAnswersLost > 30,
                    "only " + cluster.storeAnswersLost + " answers lost, seed " + seed);
            // Exactly one term per leader that ended: no leader gave up its term because of a lost
            // answer.
            assertEquals(6, cluster.term() - term, "terms, seed " + seed);
            assertEquals(0, users.unconfirmed, users + ", seed " + seed);
            for (int node = 0; node < ClusterSimulation.NODES; node++) {
                assertNotNull(
                        cluster.stored(
                                StoreKeys.ROLLOUT_NODE_PREFIX + ClusterSimulation.label(node)),
                        "no announcement of node " + node + ", seed " + seed);
            }
        }
    }

    /**
     * The checker must detect nodes that report no cancellations to the leader, and a service that
     * is configured with three times the permitted time for cancelled tasks.
     */
    @ParameterizedTest
    @CsvSource({
        "CONFIRMS_UNNAMED_CANCELLATIONS, NOTIFICATIONS_LOST, 50",
        "NONE, PEER_LINKS_DOWN, 150"
    })
    void checkerDetectsCancelledTaskThatKeepsRunning(
            Flaw flaw, AdditionalFault fault, long cancelSeconds) {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed : Seeds.first(8)) {
                                cancelAsStoreRejectsLeader(
                                        fault,
                                        seed,
                                        new Scenario.Times(20 * SECOND, cancelSeconds * SECOND),
                                        flaw);
                            }
                        });
        assertTrue(caught.getMessage().contains("ran_cancelled"), caught.getMessage());
    }
}
