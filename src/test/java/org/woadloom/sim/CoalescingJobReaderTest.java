package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.JobStatus;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.JobReader;
import org.woadloom.reads.JobView;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;

/**
 * Tests user polls on three nodes, with a simulated store behind a network that is occasionally
 * slow.
 */
class CoalescingJobReaderTest {
    private static final ServiceSettings.Store LIMITS =
            new ServiceSettings.Store(150, 60, 8192, 12, null);
    private static final int NODES = 3;

    private final SimulatedEventLoop sim = new SimulatedEventLoop();
    private final SimulatedStore store =
            new SimulatedStore(sim, new ServiceSettings.Store(10_000, 10_000, 8192, 12, null));
    private final Random random = new Random(7);
    private final List<CoalescingJobReader> jobReaders = new ArrayList<>();
    private final List<JobReader> keyReaders = new ArrayList<>();
    private int requestCount;
    private int answeredCount;

    /** Percentage of requests that are slow, and of requests whose answer is lost. */
    private int slowOrLostPercent;

    /** Percentage of reads of changes that are answered with 410, "compacted". */
    private int compactedPercent;

    /** The number of reads of changes that were answered with 410, "compacted". */
    private int compactedCount;

    CoalescingJobReaderTest() {
        for (int i = 0; i < NODES; i++) {
            StoreClient client = SimulatedStore.client(sim.loop(), this::request, LIMITS, i);
            keyReaders.add(new JobReader(client, format -> {}));
            jobReaders.add(
                    new CoalescingJobReader(sim.loop(), client, keyReaders.get(i), LIMITS, NODES));
        }
    }

    private void request(
            String address,
            String method,
            String path,
            byte[] body,
            long timeout,
            HttpTransport.Callback callback) {
        requestCount++;
        SingleAnswer answer = new SingleAnswer(callback);
        sim.after(timeout, () -> answer.answer(HttpTransport.NO_RESPONSE, Map.of()));
        if (path.startsWith("/follow") && random.nextInt(100) < compactedPercent) {
            compactedCount++;
            sim.after(2_000 + random.nextInt(300_000), () -> answer.answer(410, Map.of()));
            return;
        }
        assertFalse(path.contains("since=-"), "negative revision in " + path);
        boolean isAnswerLost = random.nextInt(100) < slowOrLostPercent;
        long requestDelay =
                random.nextInt(100) < slowOrLostPercent
                        ? random.nextInt(1_500_000)
                        : 2_000 + random.nextInt(3_000);
        sim.after(
                requestDelay,
                () -> {
                    try {
                        store.handle(
                                method,
                                path,
                                body == null ? Map.of() : Cbor.decodeMap(body),
                                (status, map) ->
                                        sim.after(
                                                random.nextInt(100) < slowOrLostPercent
                                                        ? random.nextInt(1_500_000)
                                                        : 2_000,
                                                () -> {
                                                    if (!isAnswerLost) {
                                                        answer.answer(status, map);
                                                    }
                                                }));
                    } catch (MalformedMessageException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private void write(Map<?, ?>... changes) {
        store.handle(
                "POST",
                "/txn",
                Map.of("if", List.of(), "then", List.of(changes)),
                (status, answer) -> assertEquals(200, status));
    }

    private void put(String jobId, boolean cancelled) {
        put(jobId, cancelled, 0);
    }

    /**
     * @param running a counter of changes, so that an answer shows which state it reflects
     */
    private void put(String jobId, boolean cancelled, int running) {
        try {
            JobRecord record =
                    new JobRecord(
                            JobDescription.parse(LoopbackNode.job(jobId, "team")),
                            0,
                            0,
                            cancelled,
                            new BitSet(),
                            List.of(),
                            running,
                            0,
                            0);
            write(Map.of("put", "job/" + jobId, "value", record.toMap(RecordFormat.COMPACT)));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private void finish(String jobId) {
        write(
                Map.of("drop", "job/" + jobId),
                Map.of("put", "final/" + jobId, "value", Map.of("status", "done", "done", 20L)));
    }

    private JobStatus query(int node, String jobId) {
        JobView[] result = {null};
        jobReaders.get(node).read(jobId, answer -> result[0] = answer);
        run(2_000_000);
        return result[0] == null ? null : result[0].status();
    }

    private void run(long micros) {
        sim.run(sim.now() + micros);
    }

    private static String jobId(int job) {
        return String.format("j-%06d", job);
    }

    private int queryAll(int jobCount, String expected) {
        requestCount = 0;
        int[] expectedAnswers = {0};
        for (int job = 1; job <= jobCount; job++) {
            jobReaders
                    .get(0)
                    .read(
                            jobId(job),
                            answer ->
                                    expectedAnswers[0] +=
                                            answer.status().status().equals(expected) ? 1 : 0);
        }
        run(1_000_000);
        assertEquals(jobCount, expectedAnswers[0]);
        return requestCount;
    }

    /**
     * Users poll most right after a change. Guards against reading each changed job by key, and
     * each ended one by two keys, which starved all other requests.
     */
    @Test
    void queriesOfChangedJobsShareStoreReads() {
        put(jobId(0), false);
        query(0, jobId(0));
        for (int job = 1; job <= 20; job++) {
            put(jobId(job), false);
        }
        int reads = queryAll(20, "queued");
        assertTrue(reads <= 3, reads + " reads for 20 new jobs");
        for (int job = 1; job <= 20; job++) {
            finish(jobId(job));
        }
        reads = queryAll(20, "done");
        assertTrue(reads <= 23, reads + " reads for 20 ended jobs");
    }

    /**
     * Guards against one request per poll: a thousand open jobs polled every 5 s would be 200
     * requests per second, of the 150 that the store accepts.
     */
    @Test
    void pollingAThousandJobsTakesLessThanAQuarterOfTheRequestRate() {
        for (int job = 0; job < 1_000; job++) {
            put(jobId(job), false);
            poll(job, random.nextInt(5_000_000));
        }
        run(30_000_000);
        requestCount = 0;
        answeredCount = 0;
        for (int second = 0; second < 20; second++) {
            for (int change = 0; change < 20; change++) {
                put(jobId(random.nextInt(1_000)), false);
            }
            run(1_000_000);
        }
        assertTrue(
                requestCount / 20.0 < LIMITS.rps() / 4, requestCount / 20.0 + " requests a second");
        assertTrue(answeredCount > 3_900, answeredCount + " polls answered");
    }

    private void poll(int job, long delay) {
        sim.after(
                delay,
                () -> {
                    jobReaders
                            .get(job % NODES)
                            .read(jobId(job), shown -> answeredCount += shown == null ? 0 : 1);
                    poll(job, 5_000_000);
                });
    }

    /**
     * No query may get an older state than any node had reported before the query, and every query
     * gets exactly one answer. Covers polls and reads by key, which repeated submissions and
     * cancellations use.
     */
    @ParameterizedTest
    @CsvSource({"0, 0", "10, 0", "40, 0", "0, 25", "25, 25", "40, 40"})
    void answersNeverGoBackInTime(int slowOrLost, int compacted) {
        for (long seed = 1; seed <= Long.getLong("seeds", 4); seed++) {
            CoalescingJobReaderTest scenario = new CoalescingJobReaderTest();
            scenario.random.setSeed(seed);
            scenario.slowOrLostPercent = slowOrLost;
            scenario.compactedPercent = compacted;
            scenario.runRandomScenario();
        }
    }

    /**
     * Creates, changes and ends jobs at random while they are queried, one by one and in bursts.
     */
    private void runRandomScenario() {
        AnswerChecker checker = new AnswerChecker();
        for (int i = 0; i < 5_000; i++) {
            int node = random.nextInt(NODES);
            boolean isReadByKey = random.nextInt(4) == 0;
            sim.after(random.nextInt(120_000_000), () -> changeJob(randomCurrentJobId()));
            sim.after(
                    random.nextInt(120_000_000),
                    () -> checker.query(node, randomCurrentJobId(), isReadByKey));
        }
        for (int i = 0; i < 100; i++) {
            int node = random.nextInt(NODES);
            sim.after(random.nextInt(120_000_000), () -> queryRecentJobs(checker, node));
        }
        sim.after(60_000_000, () -> store.setOutage(true));
        sim.after(66_000_000, () -> store.setOutage(false));
        run(125_000_000);
        boolean hasMissedChanges = compactedPercent > 0;
        slowOrLostPercent = 0;
        compactedPercent = 0;
        // Queries that wait for slow reads are answered once the store has recovered.
        run(90_000_000);
        assertTrue(
                Arrays.stream(checker.answersByProgress).skip(1).allMatch(answers -> answers > 20),
                Arrays.toString(checker.answersByProgress));
        assertEquals(
                0,
                checker.answerCounts.stream().filter(times -> times[0] != 1).count(),
                "queries without exactly one answer");
        assertTrue(
                !hasMissedChanges || compactedCount > 20,
                compactedCount + " reads answered with 410");
    }

    /** Queries more jobs at once than are read by key, ended and future ones among them. */
    private void queryRecentJobs(AnswerChecker checker, int node) {
        int newest = (int) (sim.now() / 1_000_000) + 10;
        for (int job = Math.max(0, newest - 60); job <= newest; job++) {
            checker.query(node, jobId(job), false);
        }
    }

    /** Checks that no answer is older than one that was given before its query. */
    private final class AnswerChecker {
        private final Map<String, Integer> highestProgress = new LinkedHashMap<>();
        private final int[] answersByProgress = new int[4];
        private final List<int[]> answerCounts = new ArrayList<>();

        void query(int node, String jobId, boolean isReadByKey) {
            int before = highestProgress.getOrDefault(jobId, 0);
            int[] answerCount = {0};
            answerCounts.add(answerCount);
            Consumer<JobStatus> check =
                    status -> {
                        int now = progressOf(status);
                        assertTrue(
                                now >= before, jobId + " went back from " + before + " to " + now);
                        highestProgress.merge(jobId, now, Math::max);
                        answersByProgress[Math.min(3, (now + 999) / 1_000)]++;
                    };
            if (isReadByKey) {
                keyReaders
                        .get(node)
                        .lookUp(
                                jobId,
                                lookup -> {
                                    answerCount[0]++;
                                    if (lookup != null) {
                                        check.accept(lookup.status());
                                    }
                                });
            } else {
                jobReaders
                        .get(node)
                        .read(
                                jobId,
                                shown -> {
                                    answerCount[0]++;
                                    if (shown != null) {
                                        check.accept(shown.status());
                                    }
                                });
            }
        }
    }

    /**
     * Returns a random current job id: each job exists for some seconds and is queried for a while
     * afterwards.
     */
    private String randomCurrentJobId() {
        return jobId((int) (sim.now() / 1_000_000) + random.nextInt(10));
    }

    /** Creates, changes, cancels or ends a job, one step at a time. */
    private void changeJob(String jobId) {
        if (store.down || store.value("final/" + jobId) != null || random.nextInt(3) > 0) {
            return;
        }
        Map<String, Object> record = store.value("job/" + jobId);
        int choice = random.nextInt(12);
        if (record == null) {
            put(jobId, false);
        } else if (choice == 0) {
            finish(jobId);
        } else if (!Boolean.TRUE.equals(record.get("cancelled"))) {
            put(jobId, choice < 3, ((Long) record.get("running")).intValue() + 1);
        }
    }

    private static int progressOf(JobStatus status) {
        return status == null
                ? 0
                : switch (status.status()) {
                    case "queued", "running" -> 1 + status.running();
                    case "cancelled" -> 1_001;
                    default -> 2_001;
                };
    }

    /** During an outage queries must be refused instead of being answered with an earlier state. */
    @Test
    void queriesDuringAnOutageGetNoStaleAnswer() {
        put(jobId(1), false);
        assertEquals("queued", query(0, jobId(1)).status());
        store.setOutage(true);
        assertNull(query(0, jobId(1)));
        int[] refusedCount = {0};
        for (int i = 0; i < 20; i++) {
            jobReaders.get(0).read(jobId(1), shown -> refusedCount[0] += shown == null ? 1 : 0);
            run(500_000);
        }
        assertEquals(20, refusedCount[0], "queries refused within 500 ms during the outage");
        store.setOutage(false);
        put(jobId(1), true);
        assertEquals("cancelled", query(0, jobId(1)).status());
        assertNull(query(1, jobId(2)), "a job that was never accepted has no status");
        // After a gap the whole cache is read again, because the store keeps changes for a limited
        // time.
        run(60_000_000);
        finish(jobId(1));
        assertEquals("done", query(0, jobId(1)).status());
    }

    /**
     * While the store is slow, one read in twenty takes seconds. Such a read must not delay all
     * queries.
     */
    @Test
    void slowReadsDoNotDelayOtherQueries() {
        put(jobId(1), false);
        assertEquals("queued", query(0, jobId(1)).status());
        slowOrLostPercent = 30;
        for (int i = 0; i < 200; i++) {
            answeredCount += query(0, jobId(1)) == null ? 0 : 1;
        }
        assertTrue(answeredCount > 180, answeredCount + " of 200 answered within 2 s");
    }
}
