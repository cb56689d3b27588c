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
 * One process campaigns, and what it asks of the store is carried out while the answer gets lost,
 * or too late.
 */
class ElectionTest {
    private static final ServiceSettings.Store LIMITS =
            new ServiceSettings.Store(1_000, 400, 8192, 12, null);
    private static final long S = 1_000_000;

    private final SimulatedEventLoop sim = new SimulatedEventLoop();
    private final SimulatedStore state = new SimulatedStore(sim, LIMITS);
    private final List<Long> terms = new ArrayList<>();
    private final List<String> ends = new ArrayList<>();

    /** How many answers to transactions, and how many to watches, get lost. */
    private int lostTxns;

    private int lostWatches;
    private int lost;

    /** A transaction of the process before is carried out just before the first of this one. */
    private boolean earlierProcess;

    private Election start() {
        Election.Eligibility fence =
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
                        sim.loop(),
                        SimulatedStore.client(
                                sim.loop(),
                                (address, method, path, body, timeout, callback) ->
                                        sim.after(
                                                2_000,
                                                () -> {
                                                    boolean[] open = {true};
                                                    sim.after(
                                                            timeout,
                                                            () -> {
                                                                if (open[0]) {
                                                                    open[0] = false;
                                                                    callback.onResponse(
                                                                            HttpTransport
                                                                                    .NO_RESPONSE,
                                                                            new byte[0]);
                                                                }
                                                            });
                                                    Map<String, Object> asked = decode(body);
                                                    boolean loses =
                                                            path.equals("/txn") && lostTxns > 0
                                                                    || path.startsWith("/follow")
                                                                            && lostWatches > 0;
                                                    if (path.equals("/txn")) {
                                                        lostTxns--;
                                                        takeAsTheProcessBefore(asked);
                                                    } else if (path.startsWith("/follow")) {
                                                        lostWatches--;
                                                    }
                                                    lost += loses ? 1 : 0;
                                                    state.handle(
                                                            method,
                                                            path,
                                                            asked,
                                                            (status, answer) ->
                                                                    sim.after(
                                                                            2_000,
                                                                            () -> {
                                                                                if (open[0]
                                                                                        && !loses) {
                                                                                    open[0] = false;
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
                        fence,
                        new Election.Listener() {
                            @Override
                            public void onElected(long term, long leaderRevision) {
                                assertEquals(
                                        leaderRevision,
                                        stampOfKey(),
                                        "the stamp that all writes hang on");
                                terms.add(term);
                            }

                            @Override
                            public void onLeadershipLost(String reason) {
                                ends.add(reason);
                            }

                            @Override
                            public void onLeaderChanged() {}
                        });
        election.start();
        return election;
    }

    private void takeAsTheProcessBefore(Map<String, Object> asked) {
        if (earlierProcess) {
            earlierProcess = false;
            state.handle(
                    "POST",
                    "/grants",
                    Map.of("lifeMs", 4_000L),
                    (status, storeLease) -> {
                        List<Object> changes = new ArrayList<>();
                        for (Object item : (List<?>) asked.get("then")) {
                            Map<Object, Object> change = new LinkedHashMap<>((Map<?, ?>) item);
                            change.computeIfPresent("hold", (key, held) -> storeLease.get("hold"));
                            changes.add(change);
                        }
                        state.handle(
                                "POST",
                                "/txn",
                                Map.of("if", asked.get("if"), "then", changes),
                                (done, answer) -> {});
                    });
        }
    }

    private long stampOfKey() {
        long[] revision = {0};
        state.handle(
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
     * Only the answer to its election is lost: its watch tells it, or else its next look. It used
     * to give the term up, after 2.5 s in which the others took it to lead, and to drop the key.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aTermWhoseAnswerWasLostIsLed(int watches) {
        lostTxns = 1;
        lostWatches = watches;
        Election election = start();
        long until = watches == 0 ? S / 10 : 3 * S;
        sim.run(until);
        assertEquals(1 + watches, lost);
        assertTrue(election.isLeader(), "leads nobody after " + until);
        sim.run(30 * S);
        assertEquals(List.of(1L), terms);
        assertEquals(List.of(), ends);
        assertTrue(election.isLeader());
    }

    /**
     * The key that it sees is of the process before it, in the same term: it hangs on a grant that
     * nobody renews.
     */
    @Test
    void aTermThatTheProcessBeforeTookIsGivenUp() {
        earlierProcess = true;
        Election election = start();
        sim.run(S);
        assertTrue(election.isLeader());
        assertEquals(2, terms.get(terms.size() - 1));
        sim.run(30 * S);
        assertTrue(election.isLeader());
        assertEquals(2, terms.get(terms.size() - 1));
    }
}
