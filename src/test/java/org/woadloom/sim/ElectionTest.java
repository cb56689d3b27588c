package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadloom.leader.Election;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.StoreClient.Condition;

/**
 * Runs a single candidate against a store that executes its requests but whose answers are lost or
 * late.
 */
class ElectionTest {
    private static final ServiceSettings.Store LIMITS =
            new ServiceSettings.Store(1_000, 400, 8192, 12, null);
    private static final long SECOND_MICROS = 1_000_000;

    private final SimulatedEventLoop eventLoop = new SimulatedEventLoop();
    private final SimulatedStore store = new SimulatedStore(eventLoop, LIMITS);
    private final List<Long> terms = new ArrayList<>();
    private final List<String> lossReasons = new ArrayList<>();

    private int txnAnswersToLose;

    private int watchAnswersToLose;
    private int lostAnswers;

    /**
     * Whether the previous process's transaction is executed just before the first one of this
     * process.
     */
    private boolean predecessorTakesTerm;

    private Election start() {
        Election.Eligibility eligibility =
                new Election.Eligibility() {
                    @Override
                    public boolean isEligible() {
                        return true;
                    }

                    @Override
                    public Condition condition() {
                        return new Condition("rollout/state", 0);
                    }

                    @Override
                    public void refresh() {}
                };
        Election election =
                new Election(
                        eventLoop.loop(),
                        SimulatedStore.client(
                                eventLoop.loop(),
                                (address, method, path, body, timeout, callback) ->
                                        eventLoop.after(
                                                2_000,
                                                () -> {
                                                    boolean[] unanswered = {true};
                                                    eventLoop.after(
                                                            timeout,
                                                            () -> {
                                                                if (unanswered[0]) {
                                                                    unanswered[0] = false;
                                                                    callback.onResponse(
                                                                            HttpTransport
                                                                                    .NO_RESPONSE,
                                                                            new byte[0]);
                                                                }
                                                            });
                                                    Map<String, Object> request = decode(body);
                                                    boolean losesAnswer =
                                                            path.equals("/txn")
                                                                            && txnAnswersToLose > 0
                                                                    || path.startsWith("/follow")
                                                                            && watchAnswersToLose
                                                                                    > 0;
                                                    if (path.equals("/txn")) {
                                                        txnAnswersToLose--;
                                                        takeTermAsPredecessor(request);
                                                    } else if (path.startsWith("/follow")) {
                                                        watchAnswersToLose--;
                                                    }
                                                    lostAnswers += losesAnswer ? 1 : 0;
                                                    store.handle(
                                                            method,
                                                            path,
                                                            request,
                                                            (status, answer) ->
                                                                    eventLoop.after(
                                                                            2_000,
                                                                            () -> {
                                                                                if (unanswered[0]
                                                                                        && !losesAnswer) {
                                                                                    unanswered[0] =
                                                                                            false;
                                                                                    callback
                                                                                            .onResponse(
                                                                                                    status,
                                                                                                    Cbor
                                                                                                            .encode(
                                                                                                                    answer));
                                                                                }
                                                                            }));
                                                }),
                                LIMITS,
                                1),
                        "node",
                        new Random(1),
                        eligibility,
                        new Election.Listener() {
                            @Override
                            public void onElected(long term, long leaderRevision) {
                                assertEquals(
                                        leaderRevision,
                                        leaderKeyRevision(),
                                        "the revision on which all writes are conditional");
                                terms.add(term);
                            }

                            @Override
                            public void onLeadershipLost(String reason) {
                                lossReasons.add(reason);
                            }

                            @Override
                            public void onLeaderChanged() {}
                        });
        election.start();
        return election;
    }

    private void takeTermAsPredecessor(Map<String, Object> request) {
        if (predecessorTakesTerm) {
            predecessorTakesTerm = false;
            store.handle(
                    "POST",
                    "/grants",
                    Map.of("lifeMs", 4_000L),
                    (status, storeLease) -> {
                        List<Object> changes = new ArrayList<>();
                        for (Object item : (List<?>) request.get("then")) {
                            Map<Object, Object> change = new LinkedHashMap<>((Map<?, ?>) item);
                            change.computeIfPresent("hold", (key, held) -> storeLease.get("hold"));
                            changes.add(change);
                        }
                        store.handle(
                                "POST",
                                "/txn",
                                Map.of("if", request.get("if"), "then", changes),
                                (done, answer) -> {});
                    });
        }
    }

    private long leaderKeyRevision() {
        long[] revision = {0};
        store.handle(
                "GET",
                "/keys/leader",
                Map.of(),
                (status, item) -> revision[0] = status == 200 ? (Long) item.get("stamp") : 0);
        return revision[0];
    }

    private static Map<String, Object> decode(byte[] body) {
        try {
            return body == null || body.length == 0 ? Map.of() : Cbor.decodeMap(body);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Guards against a leader that does not know that it leads: the answer to the transaction that
     * took the term is lost. The node must learn that it leads from its watch or, if that answer is
     * lost as well, from its next read. It used to give up the term after 2.5 s, during which the
     * other nodes took it for the leader, and to delete the key.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void campaignLeadsWhenTransactionAnswerIsLost(int lostWatchAnswers) {
        txnAnswersToLose = 1;
        watchAnswersToLose = lostWatchAnswers;
        Election election = start();
        long untilMicros = lostWatchAnswers == 0 ? SECOND_MICROS / 10 : 3 * SECOND_MICROS;
        eventLoop.run(untilMicros);
        assertEquals(1 + lostWatchAnswers, lostAnswers);
        assertTrue(election.isLeader(), "not the leader after " + untilMicros);
        eventLoop.run(30 * SECOND_MICROS);
        assertEquals(List.of(1L), terms);
        assertEquals(List.of(), lossReasons);
        assertTrue(election.isLeader());
    }

    /**
     * Guards against leading by a key that expires: the key was written by the node's previous
     * process in the same term, and is attached to a store lease that nobody renews.
     */
    @Test
    void leaderTakesNewTermWhenKeyIsOfPreviousProcess() {
        predecessorTakesTerm = true;
        Election election = start();
        eventLoop.run(SECOND_MICROS);
        assertTrue(election.isLeader());
        assertEquals(2, terms.get(terms.size() - 1));
        eventLoop.run(30 * SECOND_MICROS);
        assertTrue(election.isLeader());
        assertEquals(2, terms.get(terms.size() - 1));
    }
}
