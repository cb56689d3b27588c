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
 * Users cancel four jobs a second while the work of the controllers changes hands. {@link
 * InvariantChecker} checks after each step that no cancelled task stays too long; what is counted
 * here is that the meeting came about, and how long users waited.
 */
@ExtendWith(PrintReplayCommand.class)
class CancellationFaultCombinationsTest {
    private static final long S = 1_000_000;
    private static final long AT = 30 * S;
    private static final int SEEDS = 1;

    /** Users who cancel, each on any node, and ask again until they are told. */
    private static final class Cancellers {
        final ClusterSimulation cluster;
        final Set<String> asked = new HashSet<>();
        final List<Long> waits = new ArrayList<>();
        final Map<String, Integer> why = new TreeMap<>();
        int open;

        Cancellers(ClusterSimulation cluster) {
            this.cluster = cluster;
        }

        void until(long end) {
            if (cluster.loop.now() < end) {
                one();
                cluster.loop.after(S / 4, () -> until(end));
            }
        }

        /** Cancels a job that runs, or else one that waits. */
        void one() {
            List<String> jobs = new ArrayList<>(cluster.observed.runningJobs());
            jobs.addAll(cluster.observed.acceptedJobs());
            jobs.removeIf(jobId -> asked.contains(jobId) || cluster.observed.isOver(jobId));
            if (!jobs.isEmpty()) {
                asked.add(jobs.get(0));
                open++;
                cluster.observed.recordCancelRequest(jobs.get(0));
                ask(jobs.get(0), cluster.loop.now());
            }
        }

        private void ask(String jobId, long since) {
            long sent = cluster.loop.now();
            int node = cluster.random.nextInt(ClusterSimulation.NODES);
            cluster.toNode(
                    "users",
                    node,
                    "POST",
                    "/v1/jobs/" + jobId + "/cancel",
                    Map.of(),
                    5 * S,
                    (status, body) -> {
                        cluster.users.onAnswer(UserRequest.CANCEL, jobId, sent, status, body);
                        if (status == 200) {
                            open--;
                            waits.add(cluster.loop.now() - since);
                        } else {
                            why.merge(status + " " + body.get("error"), 1, Integer::sum);
                            // A node that has ended, can't be reached or reaches nobody is no node
                            // that keeps anybody waiting.
                            boolean served = status > 0 && !cluster.isIsolated(node);
                            cluster.loop.after(
                                    200_000, () -> ask(jobId, served ? since : cluster.loop.now()));
                        }
                    });
        }

        long longest() {
            return waits.stream().mapToLong(wait -> wait).max().orElse(0);
        }

        @Override
        public String toString() {
            return waits.size()
                    + " told, "
                    + open
                    + " not, the last after "
                    + longest()
                    + "; refused for "
                    + why;
        }
    }

    private static ClusterSimulation day(long seed, Flaw flaw) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        seed, new Scenario(Scenario.LONG, Scenario.LONG, Version.NOW, flaw, 0));
        cluster.trouble = 0;
        cluster.servicesStay = true;
        cluster.users.submitUntil(AT + 30 * S, 6);
        cluster.run(AT);
        return cluster;
    }

    private static Cancellers cancelling(ClusterSimulation cluster, long forMicros) {
        Cancellers users = new Cancellers(cluster);
        users.until(cluster.loop.now() + forMicros);
        return users;
    }

    /** How the work changes hands. */
    enum Change {
        ROLLING_RESTART(1, 700) {
            @Override
            void begin(ClusterSimulation cluster) {
                for (int node = 0; node < ClusterSimulation.NODES; node++) {
                    int ending = node;
                    cluster.loop.after(node * 5 * S, () -> cluster.end(ending, 300_000));
                }
            }
        },
        LEADER_ENDS(1, 4000) {
            @Override
            void begin(ClusterSimulation cluster) {
                cluster.endLeader(8 * S);
            }
        },
        LEADER_RETURNS_AT_ONCE(1, 600) {
            @Override
            void begin(ClusterSimulation cluster) {
                cluster.endLeader(200_000);
            }
        },
        LEADER_FREEZES(1, 6500) {
            @Override
            void begin(ClusterSimulation cluster) {
                cluster.freeze(cluster.leader(), 9 * S);
            }
        },
        CUT_ENDS(1, 6500) {
            @Override
            void begin(ClusterSimulation cluster) {
                cluster.isolate(cluster.leader(), 9 * S);
            }
        },
        REFUSED_UNTIL_DEPOSED(1, 4500) {
            @Override
            void begin(ClusterSimulation cluster) {
                cluster.refuseState(cluster.leader(), 9 * S);
            }
        },
        TEN_CHANGES(10, 1500) {
            @Override
            void begin(ClusterSimulation cluster) {
                for (int i = 0; i < 10; i++) {
                    cluster.loop.after(
                            i * 3 * S,
                            () -> cluster.endLeader(100_000 + cluster.random.nextInt(900_000)));
                }
            }
        },
        ALL_END_ONE_RETURNS(1, 17000) {
            @Override
            void begin(ClusterSimulation cluster) {
                for (int node = 0; node < ClusterSimulation.NODES; node++) {
                    cluster.end(node, node == 0 ? 300_000 : 25 * S);
                }
            }
        };

        final int terms;
        final long longestWait;

        /**
         * @param terms how many are taken at least, and within how many milliseconds everybody is
         *     told
         */
        Change(int terms, long longestMillis) {
            this.terms = terms;
            longestWait = longestMillis * 1_000;
        }

        abstract void begin(ClusterSimulation cluster);
    }

    /**
     * Four a second throughout; each is told within the time that is stated with the change, and
     * runs no longer than it may.
     */
    @ParameterizedTest
    @EnumSource
    void cancellationsAreConfirmedInTimeDuringLeaderChange(Change change) {
        for (long seed : Seeds.usually(SEEDS)) {
            ClusterSimulation cluster = day(seed, Flaw.NONE);
            long term = cluster.term();
            Cancellers users = cancelling(cluster, 35 * S);
            cluster.loop.after(2 * S, () -> change.begin(cluster));
            cluster.run(AT + 75 * S);
            assertTrue(
                    cluster.term() - term >= change.terms,
                    "only " + (cluster.term() - term) + " changes, seed " + seed);
            assertTrue(
                    cluster.observed.cancelledWhileRunning > 15,
                    "only " + cluster.observed.cancelledWhileRunning + " ran, seed " + seed);
            assertEquals(0, users.open, users + ", seed " + seed);
            assertTrue(users.longest() < change.longestWait, users + ", seed " + seed);
        }
    }

    /**
     * What else is wrong as the state service refuses the leader alone, a second before it is down
     * for all.
     */
    enum Else {
        NOTHING,
        HINTS_LOST,
        PEERS_CUT,
        PEERS_CUT_BEFORE,
        ANOTHER_REFUSED,
        ANOTHER_ALONE,
        CONFIRMING_NODES_END
    }

    /** Jobs are cancelled within 0.2 s around the moment at which the refusal begins. */
    private static int atTheMomentOfTheRefusal(
            Else what, long seed, Scenario.Times told, Flaw flaw) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        seed, new Scenario(Scenario.LONG, told, Version.NOW, flaw, 0));
        cluster.trouble = 0;
        cluster.servicesStay = true;
        cluster.users.submitUntil(AT, 6);
        cluster.run(AT);
        Cancellers users = new Cancellers(cluster);
        int leader = cluster.leader();
        for (long at = 0; at < 400_000; at += 20_000) {
            cluster.loop.after(at, users::one);
        }
        cluster.hintsLost = what != Else.NOTHING;
        if (what == Else.PEERS_CUT_BEFORE) {
            cluster.refusePeers(90 * S);
        }
        cluster.loop.after(
                200_000,
                () -> {
                    cluster.refuseState(leader, 90 * S);
                    switch (what) {
                        case PEERS_CUT -> cluster.refusePeers(90 * S);
                        case ANOTHER_REFUSED ->
                                cluster.refuseStateToo(
                                        (leader + 1) % ClusterSimulation.NODES, 90 * S);
                        case ANOTHER_ALONE ->
                                cluster.isolate((leader + 1) % ClusterSimulation.NODES, 20 * S);
                        case CONFIRMING_NODES_END ->
                                cluster.loop.after(
                                        350_000,
                                        () -> {
                                            cluster.end(
                                                    (leader + 1) % ClusterSimulation.NODES,
                                                    300_000);
                                            cluster.end(
                                                    (leader + 2) % ClusterSimulation.NODES, 20 * S);
                                        });
                        default -> {}
                    }
                });
        cluster.loop.after(1_200_000, () -> cluster.stateOutage(64 * S));
        cluster.run(AT + 1_200_000);
        int confirmed = cluster.observed.cancelledWhileRunning;
        cluster.run(AT + 90 * S);
        assertEquals(0, users.open, users + ", seed " + seed);
        return confirmed;
    }

    @ParameterizedTest
    @EnumSource
    void cancellationsAreConfirmedWhenStoreStartsRejectingLeader(Else what) {
        int confirmed = 0;
        for (long seed : Seeds.usually(SEEDS + 1)) {
            confirmed += atTheMomentOfTheRefusal(what, seed, Scenario.LONG, Flaw.NONE);
        }
        // With the peers cut from before only a leader that nobody promised anything could be
        // passed by.
        assertTrue(
                confirmed > (what == Else.PEERS_CUT_BEFORE ? 2 : 8),
                "only " + confirmed + " confirmed in that second");
    }

    /**
     * Slow answers first, then the refusal of the leader alone, then the outage, while users cancel
     * and ask all the time.
     */
    @Test
    void cancellationsAreConfirmedWhenSlowStoreRejectsLeaderThenFails() {
        int confirmed = 0;
        for (long seed : Seeds.usually(SEEDS + 1)) {
            ClusterSimulation cluster = day(seed, Flaw.NONE);
            cluster.lookClosely(25 * S);
            cluster.slowState(900_000, 12 * S);
            Cancellers users = cancelling(cluster, 20 * S);
            cluster.loop.after(8 * S, () -> cluster.gap(4 * S, 60 * S));
            cluster.run(AT + 12 * S);
            confirmed += cluster.observed.cancelledWhileRunning;
            cluster.run(AT + 100 * S);
            assertTrue(
                    cluster.closeLooks > 10,
                    "only " + cluster.closeLooks + " close looks, seed " + seed);
            assertEquals(0, users.open, users + ", seed " + seed);
        }
        assertTrue(confirmed > 3, "only " + confirmed + " confirmed before the outage");
    }

    /**
     * What befalls the leader as many jobs are called off within a fifth of a second, some of whose
     * machines hang.
     */
    enum Leader {
        ENDED {
            @Override
            void meet(ClusterSimulation cluster) {
                cluster.endLeader(3 * S);
            }
        },
        FROZEN {
            @Override
            void meet(ClusterSimulation cluster) {
                cluster.freeze(cluster.leader(), 12 * S);
            }
        },
        ISOLATED {
            @Override
            void meet(ClusterSimulation cluster) {
                cluster.isolate(cluster.leader(), 40 * S);
            }
        },
        REFUSED {
            @Override
            void meet(ClusterSimulation cluster) {
                cluster.refuseState(cluster.leader(), 40 * S);
            }
        };

        abstract void meet(ClusterSimulation cluster);
    }

    @ParameterizedTest
    @EnumSource
    void cancelledTasksStopInTimeWhenMachinesHangAndLeaderFails(Leader leader) {
        int confirmed = 0;
        int called = 0;
        for (long seed : Seeds.usually(SEEDS)) {
            ClusterSimulation cluster = day(seed, Flaw.NONE);
            for (int i = 0; i < 2; i++) {
                called += cluster.cancelNow(6, 5 * S + i * 9 * S);
                cluster.loop.after(
                        i * 60_000,
                        () -> {
                            if (cluster.stored("leader") != null) {
                                leader.meet(cluster);
                            }
                        });
                cluster.run(cluster.loop.now() + 43 * S);
            }
            confirmed += cluster.observed.cancelledWhileRunning;
            cluster.run(cluster.loop.now() + 20 * S);
        }
        assertTrue(called > 8, "only " + called + " called off");
        assertTrue(confirmed > 8, "only " + confirmed + " ran when that was confirmed");
    }

    /**
     * While only the answers to transactions get lost, the node that was elected leads, and its
     * words and records are found.
     */
    @Test
    void lostTransactionAnswersCauseNoExtraTerms() {
        for (long seed : Seeds.usually(SEEDS)) {
            ClusterSimulation cluster = day(seed, Flaw.NONE);
            long term = cluster.term();
            cluster.loseAnswers(40, 35 * S);
            Cancellers users = cancelling(cluster, 30 * S);
            for (int i = 0; i < 6; i++) {
                cluster.loop.after(i * 5 * S, () -> cluster.endLeader(300_000));
            }
            cluster.run(AT + 90 * S);
            assertTrue(
                    cluster.lostAnswersMade > 30,
                    "only " + cluster.lostAnswersMade + " lost, seed " + seed);
            // As many terms as leaders ended: none was given up for an answer that was lost.
            assertEquals(6, cluster.term() - term, "terms, seed " + seed);
            assertEquals(0, users.open, users + ", seed " + seed);
            for (int node = 0; node < ClusterSimulation.NODES; node++) {
                assertNotNull(
                        cluster.stored(
                                StoreKeys.ROLLOUT_NODE_PREFIX + ClusterSimulation.label(node)),
                        "no word of node " + node + ", seed " + seed);
            }
        }
    }

    /**
     * The checker must be able to fail: nodes that name nothing, and a platform that is told three
     * times the time that there is.
     */
    @ParameterizedTest
    @CsvSource({"VOUCHES_FOR_ANYTHING, HINTS_LOST, 50", "NONE, PEERS_CUT, 150"})
    void checkerDetectsCancelledTaskThatKeepsRunning(Flaw flaw, Else what, long cancelSeconds) {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed : Seeds.first(8)) {
                                atTheMomentOfTheRefusal(
                                        what,
                                        seed,
                                        new Scenario.Times(20 * S, cancelSeconds * S),
                                        flaw);
                            }
                        });
        assertTrue(caught.getMessage().contains("ran_cancelled"), caught.getMessage());
    }
}
