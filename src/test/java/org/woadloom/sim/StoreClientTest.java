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
 * Tests which requests of {@link StoreClient} wait for others. The leader's rates here are 30
 * changes per second and more requests than the tests make.
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

    private void submitChanges(RequestPriority priority, int changeCount) {
        client.txn(
                priority,
                List.of(),
                Collections.nCopies(changeCount, Change.put("key", Map.of())),
                (result, storeRevision, failed) -> {});
    }

    private void run(long micros) {
        sim.run(sim.now() + micros);
    }

    /**
     * Guards against user polls queueing behind the leader's changes, which can wait minutes for
     * their rate.
     */
    @Test
    void readIsSentWhileChangesWaitForTheirRate() {
        for (int i = 0; i < 30; i++) {
            submitChanges(RequestPriority.URGENT, 12);
        }
        run(200_000);
        sent.clear();
        client.get(RequestPriority.USER, "polled", (result, entry, storeRevision) -> {});
        run(10_000);
        assertEquals(List.of("/keys/polled"), sent);
    }

    /**
     * Guards against a timer for an earlier request with a long wait delaying a later request with
     * a short wait.
     */
    @Test
    void requestWithAShorterWaitIsNotDelayedByALongerTimer() {
        client.get(RequestPriority.URGENT, "refused", (result, entry, storeRevision) -> {});
        submitChanges(RequestPriority.URGENT, 30);
        submitChanges(RequestPriority.URGENT, 30);
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
     * A request that cannot be sent before its deadline is refused immediately, and one that is
     * still queued at its deadline is dropped, because its user has given up.
     */
    @Test
    void requestsThatWouldMissTheirDeadlineAreRefusedUnsent() {
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
        assertEquals(300, refused.size(), "every request is answered");
        assertEquals(300 - client.shedCount(), sent.size());
        assertTrue(refused.stream().allMatch(at -> at <= 4_100_000));
    }

    // Lost answers.

    private final SimulatedStore store = new SimulatedStore(sim, LIMITS);
    private final Random random = new Random(7);

    /** What happens to a transaction. */
    private enum Outcome {
        ANSWERED,
        ANSWER_LOST,
        EXECUTED_LATE
    }

    private StoreClient clientOfStore(Supplier<Outcome> outcomes) {
        StoreClient storeClient =
                SimulatedStore.client(
                        sim.loop(),
                        (address, method, path, body, timeout, callback) -> {
                            boolean[] isAnswered = {false};
                            Map<String, Object> map = body == null ? Map.of() : decoded(body);
                            SimulatedStore.Answer answer =
                                    (status, content) ->
                                            sim.after(
                                                    3_000,
                                                    () -> {
                                                        if (!isAnswered[0]) {
                                                            isAnswered[0] = true;
                                                            callback.onResponse(
                                                                    status,
                                                                    status > 0
                                                                            ? Cbor.encode(content)
                                                                            : new byte[0]);
                                                        }
                                                    });
                            sim.after(timeout, () -> answer.answer(0, Map.of()));
                            switch (path.equals("/txn") ? outcomes.get() : Outcome.ANSWERED) {
                                case ANSWERED -> store.handle(method, path, map, answer);
                                case ANSWER_LOST ->
                                        store.handle(method, path, map, (status, content) -> {});
                                case EXECUTED_LATE ->
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
        storeClient.setLeader(true);
        return storeClient;
    }

    private static Map<String, Object> decoded(byte[] body) {
        try {
            return Cbor.decodeMap(body);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Guards against lost answers blocking in-flight slots until their timeout (2 s, 12 slots) and
     * causing non-urgent requests to be held back.
     */
    @Test
    void lostAnswersDoNotDelayOtherRequests() {
        StoreClient storeClient =
                clientOfStore(
                        () -> random.nextInt(10) < 4 ? Outcome.ANSWER_LOST : Outcome.ANSWERED);
        int[] readCount = {0};
        int[] slowCount = {0};
        for (long at = 0; at < 20_000_000; at += 50_000) {
            String key = "key" + at;
            sim.after(
                    at,
                    () -> {
                        storeClient.txn(
                                RequestPriority.URGENT,
                                List.of(),
                                List.of(Change.put(key, Map.of())),
                                (result, storeRevision, failed) -> {});
                        long requestedAt = sim.now();
                        storeClient.get(
                                RequestPriority.NORMAL,
                                key,
                                (result, entry, storeRevision) -> {
                                    readCount[0]++;
                                    slowCount[0] += sim.now() - requestedAt > 100_000 ? 1 : 0;
                                });
                    });
        }
        run(20_000_000);
        assertEquals(0, slowCount[0], "slow reads out of " + readCount[0]);
        assertEquals(400, readCount[0]);
    }

    private Result write(
            StoreClient storeClient, String key, Map<String, Object> value, long[] reportedAfter) {
        Result[] reported = {null};
        long start = sim.now();
        storeClient.txn(
                RequestPriority.URGENT,
                List.of(new Condition(key, 0)),
                List.of(Change.put(key, value)),
                key,
                (result, storeRevision, failed) -> {
                    assertNull(reported[0], "result reported twice");
                    reported[0] = result;
                    reportedAfter[0] = sim.now() - start;
                });
        run(6_000_000);
        return reported[0];
    }

    /**
     * The proof key is read after a fraction of a second. Its absence proves nothing, because the
     * transaction may still be executed.
     */
    @Test
    void transactionWithALostAnswerIsConfirmedByReadingItsProofKey() {
        long[] reportedAfter = {0};
        assertEquals(
                Result.OK,
                write(
                        clientOfStore(() -> Outcome.ANSWER_LOST),
                        "job/1",
                        Map.of("version", 3L),
                        reportedAfter));
        assertTrue(reportedAfter[0] < 500_000, "reported after " + reportedAfter[0]);
        assertEquals(
                Result.UNKNOWN,
                write(
                        clientOfStore(() -> Outcome.EXECUTED_LATE),
                        "job/2",
                        Map.of("version", 3L),
                        reportedAfter));
        // Another writer's value is at the key: the transaction failed and its answer was lost.
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
                write(
                        clientOfStore(() -> Outcome.ANSWER_LOST),
                        "job/3",
                        Map.of("version", 3L),
                        reportedAfter));
    }
}
