package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadloom.http.JobApi;
import org.woadloom.http.Response;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;

/**
 * Responses to submissions and cancellations whose store transactions get no answer or a late one,
 * and to jobs that need machine types that were added later.
 */
class UserWritesTest {
    private static final ServiceSettings.Store LIMITS =
            new ServiceSettings.Store(150, 60, 8192, 12, null);
    private static final ServiceSettings SETTINGS =
            NodeSettings.of(
                    "node",
                    List.of(),
                    List.of("a", "b"),
                    List.of(new Team("team", 8, 8, 0, 0)),
                    LIMITS);
    private static final MachineType TYPE =
            new MachineType("m", 4, 0, 8, 50, 1, 1, 0.3, 30_000_000, List.of("a"));
    private static final MachineType ADDED_TYPE =
            new MachineType("added", 8, 0, 32, 50, 1, 1, 0.3, 30_000_000, List.of("b"));

    private final SimulatedEventLoop sim = new SimulatedEventLoop();
    private final SimulatedStore store =
            new SimulatedStore(sim, new ServiceSettings.Store(10_000, 10_000, 8192, 12, null));
    private final Random random = new Random(11);

    /**
     * The percentage of transactions that get no answer. They commit after {@link
     * #commitDelayMicros}, or never if that is negative.
     */
    private int unansweredPercent;

    private long commitDelayMicros;
    private int lostAnswers;
    private int reads;
    private int transactions;
    private final Map<String, Integer> notifications = new LinkedHashMap<>();
    private List<MachineType> types = List.of(TYPE);

    /** The machine types that the cloud offers, or null while it is down. */
    private List<MachineType> offeredTypes = types;

    private int typeRefreshes;
    private final JobApi api =
            new JobApi(
                    sim.loop(),
                    SimulatedStore.client(sim.loop(), this::request, LIMITS, 3),
                    SETTINGS,
                    new JobApi.RecordPolicy() {
                        @Override
                        public RecordFormat writeFormat() {
                            return RecordFormat.COMPACT;
                        }

                        @Override
                        public int maxValueBytes() {
                            return 8192;
                        }

                        @Override
                        public void onFormatSeen(RecordFormat format) {}
                    },
                    new JobApi.MachineTypeSource() {
                        @Override
                        public List<MachineType> currentTypes() {
                            return types;
                        }

                        @Override
                        public void refresh(Consumer<Boolean> answered) {
                            typeRefreshes++;
                            sim.after(
                                    5_000,
                                    () -> {
                                        types = offeredTypes == null ? types : offeredTypes;
                                        answered.accept(offeredTypes != null);
                                    });
                        }
                    },
                    (record, revision) ->
                            notifications.merge(
                                    record.description().jobId() + record.cancelled(),
                                    1,
                                    Integer::sum),
                    (jobId, patience, answer) -> answer.accept(true));

    /** A user's request and its response. */
    private static final class UserCall {
        final String jobId;
        Response response;
        long tookMicros;
        int answers;

        UserCall(String jobId) {
            this.jobId = jobId;
        }

        boolean succeededWithin(long micros) {
            return response != null && response.status() / 100 == 2 && tookMicros <= micros;
        }
    }

    private void request(
            String address,
            String method,
            String path,
            byte[] body,
            long timeout,
            HttpTransport.Callback callback) {
        SingleAnswer answer = new SingleAnswer(callback);
        sim.after(timeout, () -> answer.answer(HttpTransport.NO_RESPONSE, Map.of()));
        boolean unansweredTxn = path.equals("/txn") && random.nextInt(100) < unansweredPercent;
        lostAnswers += unansweredTxn ? 1 : 0;
        reads += method.equals("GET") ? 1 : 0;
        transactions += path.equals("/txn") ? 1 : 0;
        if (!unansweredTxn || commitDelayMicros >= 0) {
            sim.after(
                    unansweredTxn ? 3_000 + commitDelayMicros : 3_000,
                    () ->
                            handle(
                                    method,
                                    path,
                                    body,
                                    (status, map) ->
                                            sim.after(
                                                    2_000,
                                                    () -> {
                                                        if (!unansweredTxn) {
                                                            answer.answer(status, map);
                                                        }
                                                    })));
        }
    }

    private void handle(String method, String path, byte[] body, SimulatedStore.Answer answer) {
        try {
            store.handle(method, path, body == null ? Map.of() : Cbor.decodeMap(body), answer);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private UserCall call(String jobId, Consumer<Consumer<Response>> request) {
        UserCall call = new UserCall(jobId);
        long from = sim.now();
        request.accept(
                response -> {
                    call.answers++;
                    call.response = response;
                    call.tookMicros = sim.now() - from;
                });
        return call;
    }

    private UserCall submit(Map<String, Object> job) {
        return call((String) job.get("uid"), answer -> api.submit(Cbor.encode(job), answer));
    }

    private static Map<String, Object> job(int number) {
        return LoopbackNode.job(String.format("j-%06d", number), "team");
    }

    private void put(String jobId, Map<String, Object> record) {
        store.handle(
                "POST",
                "/txn",
                Map.of(
                        "if",
                        List.of(),
                        "then",
                        List.of(Map.of("put", "job/" + jobId, "value", record))),
                (status, answer) -> assertEquals(200, status));
    }

    private List<UserCall> submitJobs(int count) {
        List<UserCall> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            calls.add(submit(job(i)));
            sim.run(sim.now() + 250_000);
        }
        sim.run(sim.now() + 8_000_000);
        calls.forEach(one -> assertEquals(1, one.answers, one.jobId));
        return calls;
    }

    private static double shareSucceededWithin(List<UserCall> calls, long micros) {
        return calls.stream().filter(one -> one.succeededWithin(micros)).count()
                / (double) calls.size();
    }

    /**
     * 30% of the answers are lost. Users used to wait for a time-out then; now each committed
     * change is confirmed from a read of the record.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 700_000})
    void committedWriteIsConfirmedWithoutStoreAnswer(long commitDelay) {
        unansweredPercent = 30;
        commitDelayMicros = commitDelay;
        List<UserCall> submitted = submitJobs(300);
        List<UserCall> cancelled = new ArrayList<>();
        for (UserCall one : submitted) {
            cancelled.add(call(one.jobId, answer -> api.cancel(one.jobId, answer)));
            sim.run(sim.now() + 250_000);
        }
        sim.run(sim.now() + 8_000_000);
        assertTrue(lostAnswers > 120, lostAnswers + " answers lost");
        long within = commitDelay == 0 ? 1_000_000 : 2_000_000;
        assertEquals(1, shareSucceededWithin(submitted, within));
        assertEquals(1, shareSucceededWithin(cancelled, within));
        assertEquals(
                2 * submitted.size(),
                notifications.size(),
                "the leader is notified of each change");
        assertEquals(
                List.of(),
                notifications.entrySet().stream()
                        .filter(notification -> notification.getValue() != 1)
                        .toList(),
                "the leader is notified of each change exactly once");
    }

    /**
     * A record that is absent may still be written later, or never: the user gets 503, after at
     * most two reads of the record.
     */
    @Test
    void absentWriteIsAnswered503AfterAtMostTwoReads() {
        unansweredPercent = 100;
        commitDelayMicros = -1;
        List<UserCall> submitted = submitJobs(40);
        assertEquals(0, shareSucceededWithin(submitted, 10_000_000));
        assertEquals(40, submitted.stream().filter(one -> one.response.status() == 503).count());
        assertEquals(Map.of(), notifications);
        assertTrue(reads > 40 && reads <= 80, reads + " reads");
    }

    /**
     * A write by the leader makes the condition of the cancellation fail: it is retried as soon as
     * the new record has been read.
     */
    @Test
    void cancellationWithFailedConditionIsRetried() {
        UserCall submitted = submit(job(1));
        sim.run(sim.now() + 100_000);
        assertEquals(201, submitted.response.status());
        unansweredPercent = 100;
        commitDelayMicros = 200_000;
        UserCall cancelled = call(submitted.jobId, answer -> api.cancel(submitted.jobId, answer));
        sim.run(sim.now() + 100_000);
        Map<String, Object> record = new LinkedHashMap<>(store.value("job/" + submitted.jobId));
        record.put("running", 1L);
        put(submitted.jobId, record);
        unansweredPercent = 0;
        sim.run(sim.now() + 3_000_000);
        assertTrue(cancelled.succeededWithin(1_000_000), cancelled.tookMicros + " us");
        assertTrue(
                JobRecord.formatOf(store.value("job/" + submitted.jobId)) == RecordFormat.COMPACT
                        && Boolean.TRUE.equals(
                                store.value("job/" + submitted.jobId).get("cancelled")));
    }

    /**
     * A job is not rejected because it needs a machine type that was added after this node read the
     * types; while the cloud is down the node answers 503.
     */
    @Test
    void jobFittingNewMachineTypeIsAccepted() {
        Map<String, Object> job = job(1);
        job.put("hosttypes", List.of("added"));
        offeredTypes = null;
        for (int i = 0; i < 10; i++) {
            UserCall undecided = submit(job);
            sim.run(sim.now() + 90_000);
            assertEquals(503, undecided.response.status());
        }
        assertEquals(1, typeRefreshes, "the cloud must not be asked for each submission");
        sim.run(sim.now() + 200_000);
        offeredTypes = List.of(TYPE, ADDED_TYPE);
        UserCall accepted = submit(job);
        Map<String, Object> oversizedJob = job(2);
        oversizedJob.put("ramGb", 100.0);
        UserCall refused = submit(oversizedJob);
        sim.run(sim.now() + 100_000);
        assertEquals(201, accepted.response.status());
        assertEquals(422, refused.response.status());
        assertEquals(2, typeRefreshes, "one refresh serves both submissions");
    }

    /**
     * A retry while the first write is in flight must not cause a second write: the store's write
     * rate is scarce.
     */
    @Test
    void concurrentRequestsForOneJobShareOneWrite() {
        List<UserCall> submitted = List.of(submit(job(1)), submit(job(1)), submit(job(1)));
        sim.run(sim.now() + 1_000_000);
        assertEquals(
                List.of(201, 200, 200),
                submitted.stream().map(one -> one.response.status()).toList());
        submitted.forEach(one -> assertEquals(1, one.answers));
        assertEquals(1, transactions);
        List<UserCall> cancelled = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            cancelled.add(
                    call(
                            submitted.get(0).jobId,
                            answer -> api.cancel(submitted.get(0).jobId, answer)));
        }
        sim.run(sim.now() + 1_000_000);
        cancelled.forEach(
                one -> assertEquals(List.of(200, 1), List.of(one.response.status(), one.answers)));
        assertEquals(2, transactions);
    }

    /**
     * The job is cancelled after the store has executed the write and before the store's answer
     * arrives. The user may already know of the cancellation, so a request that joined the write
     * must report the cancellation too.
     */
    @Test
    void submissionJoiningPendingWriteReportsCancellationMadeMeanwhile()
            throws MalformedMessageException {
        UserCall first = submit(job(1));
        sim.run(sim.now() + 3_500);
        Map<String, Object> record = new LinkedHashMap<>(store.value("job/" + first.jobId));
        record.put("cancelled", true);
        put(first.jobId, record);
        UserCall joined = submit(job(1));
        sim.run(sim.now() + 1_000_000);
        assertEquals(201, first.response.status());
        assertEquals(200, joined.response.status());
        assertEquals("cancelled", Cbor.decodeMap(joined.response.body()).get("status"));
        assertEquals(1, transactions);
    }

    /** Guards against a repeated submission that walks a chain one round per job. */
    @Test
    void repeatedSubmissionOfLongChainIsAnsweredInTime() {
        Map<String, Object> last = job(0);
        submit(last);
        for (int i = 1; i < 60; i++) {
            sim.run(sim.now() + 250_000);
            Map<String, Object> next = job(i);
            next.put("awaits", List.of(last.get("uid")));
            last = next;
            submit(last);
        }
        sim.run(sim.now() + 1_000_000);
        UserCall repeated = submit(last);
        sim.run(sim.now() + 10_000_000);
        assertTrue(repeated.succeededWithin(5_000_000), repeated.tookMicros + " us");
    }

    /** Guards against a read by key for each dependency that another node accepted. */
    @Test
    void submissionWithHundredsOfDependenciesIsAnsweredInTime() throws MalformedMessageException {
        List<String> dependencies = new ArrayList<>();
        for (int i = 1; i <= 500; i++) {
            JobRecord record = JobRecord.accepted(JobDescription.parse(job(i)), 1);
            dependencies.add(record.description().jobId());
            put(dependencies.get(i - 1), record.toMap(RecordFormat.COMPACT));
        }
        Map<String, Object> job = job(0);
        job.put("awaits", dependencies);
        UserCall submitted = submit(job);
        sim.run(sim.now() + 6_000_000);
        assertTrue(submitted.succeededWithin(5_000_000), submitted.tookMicros + " us");
    }

    /**
     * A write without an answer, and requests that joined it, are answered before the user's
     * timeout.
     */
    @Test
    void requestsAreAnsweredInTimeWhenStoreNeverAnswers() {
        unansweredPercent = 100;
        commitDelayMicros = -1;
        UserCall first = submit(job(1));
        sim.run(sim.now() + 3_000_000);
        UserCall joined = submit(job(1));
        sim.run(sim.now() + 6_000_000);
        assertEquals(List.of(503, 503), List.of(first.response.status(), joined.response.status()));
        assertTrue(first.tookMicros < 5_000_000 && joined.tookMicros < 5_000_000);
    }
}
