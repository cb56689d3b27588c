package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;

/**
 * What waits for what on the way to the store: 30 changes a second here, and more reads than are
 * asked for.
 */
class StoreClientTest {
    private static final ServiceSettings.Store LIMITS =
            new ServiceSettings.Store(1_000, 40, 8192, 12, null);

    private final SimulatedEventLoop sim = new SimulatedEventLoop();
    private final List<String> sent = new ArrayList<>();
    private final StoreClient client;

    StoreClientTest() {
        client =
                SimulatedStore.client(
                        sim.loop(),
                        (address, method, path, body, timeout, callback) -> {
                            sent.add(path);
                            sim.after(2_000, () -> callback.onResponse(503, new byte[0]));
                        },
                        LIMITS,
                        1);
        client.setLeader(true);
    }

    private void change(RequestPriority priority, int changes) {
        client.txn(
                priority,
                List.of(),
                Collections.nCopies(changes, Change.put("key", Map.of())),
                (result, storeRevision, failed) -> {});
    }

    private void run(long micros) {
        sim.run(sim.now() + micros);
    }

    /**
     * The leader's changes wait for their budget for minutes; users' polls would wait behind them.
     */
    @Test
    void readsPassByChangesThatWaitForTheirBudget() {
        for (int i = 0; i < 30; i++) {
            change(RequestPriority.URGENT, 12);
        }
        run(200_000);
        sent.clear();
        client.get(RequestPriority.USER, "polled", (result, entry, storeRevision) -> {});
        run(10_000);
        assertEquals(List.of("/keys/polled"), sent);
    }

    /** Whoever comes later may have to wait for less. */
    @Test
    void aShortWaitIsNotTakenForALongOne() {
        client.get(RequestPriority.URGENT, "refused", (result, entry, storeRevision) -> {});
        change(RequestPriority.URGENT, 30);
        change(RequestPriority.URGENT, 30);
        run(3_000);
        sent.clear();
        client.get(
                RequestPriority.NORMAL,
                "held back for a moment",
                (result, entry, storeRevision) -> {});
        run(250_000);
        assertEquals(List.of("/keys/held back for a moment"), sent);
    }

    /**
     * What can't be sent in time is refused at once, and what waited too long is not sent: its user
     * has given up.
     */
    @Test
    void whatComesTooLateIsNotSent() {
        List<Long> refused = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            client.txn(
                    RequestPriority.USER,
                    sim.now() + 4_000_000,
                    List.of(),
                    List.of(Change.put("key", Map.of())),
                    (result, storeRevision, failed) -> refused.add(sim.now()));
        }
        run(1_000);
        assertTrue(
                refused.size() > 100 && refused.size() < 200,
                refused.size() + " were refused at once");
        assertEquals(refused.size(), client.shedCount());
        run(10_000_000);
        assertEquals(300, refused.size(), "each is answered");
        assertEquals(300 - client.shedCount(), sent.size());
        assertTrue(refused.stream().allMatch(at -> at <= 4_100_000));
    }

    // Single answers that are lost.

    private final SimulatedStore store = new SimulatedStore(sim, LIMITS);
    private final Random luck = new Random(7);

    /** What becomes of a transaction. */
    private enum Fate {
        ANSWERED,
        ANSWER_LOST,
        CARRIED_OUT_LATE
    }

    private StoreClient served(Supplier<Fate> fates) {
        StoreClient served =
                SimulatedStore.client(
                        sim.loop(),
                        (address, method, path, body, timeout, callback) -> {
                            boolean[] told = {false};
                            Map<String, Object> map = body == null ? Map.of() : decoded(body);
                            SimulatedStore.Answer answer =
                                    (status, content) ->
                                            sim.after(
                                                    3_000,
                                                    () -> {
                                                        if (!told[0]) {
                                                            told[0] = true;
                                                            callback.onResponse(
                                                                    status,
                                                                    status > 0
                                                                            ? Cbor.encode(content)
                                                                            : new byte[0]);
                                                        }
                                                    });
                            sim.after(timeout, () -> answer.answer(0, Map.of()));
                            switch (path.equals("/txn") ? fates.get() : Fate.ANSWERED) {
                                case ANSWERED -> store.handle(method, path, map, answer);
                                case ANSWER_LOST ->
                                        store.handle(method, path, map, (status, content) -> {});
                                case CARRIED_OUT_LATE ->
                                        sim.after(
                                                4_000_000,
                                                () ->
                                                        store.handle(
                                                                method,
                                                                path,
                                                                map,
                                                                (status, content) -> {}));
                            }
                        },
                        LIMITS,
                        1);
        served.setLeader(true);
        return served;
    }

    private static Map<String, Object> decoded(byte[] body) {
        try {
            return Cbor.decodeMap(body);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * A lost answer used to hold one of twelve places for 2 s, and everything that is not urgent
     * for a moment.
     */
    @Test
    void singleAnswersThatAreLostHoldUpNothingElse() {
        StoreClient served = served(() -> luck.nextInt(10) < 4 ? Fate.ANSWER_LOST : Fate.ANSWERED);
        int[] read = {0};
        int[] slow = {0};
        for (long at = 0; at < 20_000_000; at += 50_000) {
            String key = "key" + at;
            sim.after(
                    at,
                    () -> {
                        served.txn(
                                RequestPriority.URGENT,
                                List.of(),
                                List.of(Change.put(key, Map.of())),
                                (result, storeRevision, failed) -> {});
                        long asked = sim.now();
                        served.get(
                                RequestPriority.NORMAL,
                                key,
                                (result, entry, storeRevision) -> {
                                    read[0]++;
                                    slow[0] += sim.now() - asked > 100_000 ? 1 : 0;
                                });
                    });
        }
        run(20_000_000);
        assertEquals(0, slow[0], "of " + read[0] + " reads so many were slow");
        assertEquals(400, read[0]);
    }

    private Result write(
            StoreClient served, String key, Map<String, Object> value, long[] toldAfter) {
        Result[] told = {null};
        long from = sim.now();
        served.txn(
                RequestPriority.URGENT,
                List.of(new Condition(key, 0)),
                List.of(Change.put(key, value)),
                key,
                (result, storeRevision, failed) -> {
                    assertNull(told[0], "told twice");
                    told[0] = result;
                    toldAfter[0] = sim.now() - from;
                });
        run(6_000_000);
        return told[0];
    }

    /**
     * Whether it was carried out is read after a fraction of a second; that it was not yet is no
     * proof.
     */
    @Test
    void aTransactionWhoseAnswerIsLostIsReadBack() {
        long[] after = {0};
        assertEquals(
                Result.OK,
                write(served(() -> Fate.ANSWER_LOST), "job/1", Map.of("version", 3L), after));
        assertTrue(after[0] < 500_000, "told after " + after[0]);
        assertEquals(
                Result.UNKNOWN,
                write(served(() -> Fate.CARRIED_OUT_LATE), "job/2", Map.of("version", 3L), after));
        // Somebody else's value is there: the transaction failed, and its answer was lost.
        store.handle(
                "POST",
                "/txn",
                Map.of(
                        "if",
                        List.of(),
                        "then",
                        List.of(Map.of("put", "job/3", "value", Map.of("version", 9L)))),
                (status, content) -> {});
        assertEquals(
                Result.UNKNOWN,
                write(served(() -> Fate.ANSWER_LOST), "job/3", Map.of("version", 3L), after));
    }
}
