package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.woadloom.http.JobApi;
import org.woadloom.http.Response;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreLimits;

/**
 * The open and ended jobs of about 4,000 machines are polled at three nodes in turn while the nodes
 * can't read the store or all restart. Guards against jobs whose polls stay unanswered after the
 * fault is over.
 */
class StatusRecoveryTest {
    private static final long SECOND = 1_000_000;
    private static final int NODES = 3;
    private static final int JOBS = 12_000;
    private static final int ENDED_JOBS = 12_000;
    private static final int REPEATED_REQUESTS = 3_000;
    private static final int PIPELINE_LENGTH = 6;
    private static final int STAGES = 12;
    private static final int JOBS_PER_STAGE = 4;
    private static final long POLL_INTERVAL = 5 * SECOND;
    private static final long USER_TIMEOUT = 2 * SECOND;
    private static final long CANCELLATION_TIMEOUT = 5 * SECOND;

    /**
     * A job whose polls get no answer for longer than this after the end of all faults counts as
     * forgotten.
     */
    private static final long MAX_UNANSWERED = 75 * SECOND;

    /** Longer than the 25 s for which a node may miss changes at these limits. */
    private static final long OUTAGE_MICROS = 30 * SECOND;

    /**
     * Shorter than these 25 s, and longer than it takes until the queries of a job get priority.
     */
    private static final long SILENCE_MICROS = 20 * SECOND;

    private static final int WARM_UP_JOBS_PER_SECOND = 20;
    private static final long FAULT_FREE_MICROS = 20 * SECOND;
    private static final String UNKNOWN_JOB = "j-999999";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final ServiceSettings.Store LIMITS =
            new ServiceSettings.Store(150, 60, 8192, 12, null);
    private static final ServiceSettings.Store NO_LIMITS =
            new ServiceSettings.Store(1_000_000, 1_000_000, 8192, 12, null);

    private final SimulatedEventLoop sim = new SimulatedEventLoop();
    private final SimulatedStore store = new SimulatedStore(sim, NO_LIMITS).withFullPages();
    private final Random random = new Random(4);
    private final List<JobApi> nodes = new ArrayList<>();
    private final long[] lastAnswered = new long[JOBS + ENDED_JOBS];
    private int jobCount = JOBS;
    private double requestTokens = LIMITS.rps();
    private long requestTokensAt;
    private boolean storeSilent;
    private int answers;
    private int refusals;

    StatusRecoveryTest() throws MalformedMessageException {
        for (int job = 0; job < JOBS; job++) {
            put(job);
        }
        startNodes();
    }

    /** Returns the job's id; the ids of open and ended jobs are interleaved. */
    private static String jobId(int job) {
        return String.format("j-%06d", job < JOBS ? 2 * job : 2 * (job - JOBS) + 1);
    }

    private void put(int job, String... dependencies) throws MalformedMessageException {
        putRecord(job, record(job, dependencies));
    }

    private void putRecord(int job, JobRecord record) {
        putValue("job/" + jobId(job), record.toMap(RecordFormat.COMPACT));
    }

    private static JobRecord record(int job, String... dependencies)
            throws MalformedMessageException {
        Map<String, Object> description = LoopbackNode.job(jobId(job), "team");
        description.put("awaits", List.of(dependencies));
        return JobRecord.accepted(JobDescription.parse(description), 1);
    }

    /** Returns the jobs of the stage before the job's, for a pipeline that starts with job 0. */
    private static String[] previousStage(int job) {
        int stage = job / JOBS_PER_STAGE;
        return IntStream.range((stage - 1) * JOBS_PER_STAGE, stage * JOBS_PER_STAGE)
                .mapToObj(StatusRecoveryTest::jobId)
                .toArray(String[]::new);
    }

    private void addEndedJobs() {
        jobCount = JOBS + ENDED_JOBS;
        for (int job = JOBS; job < jobCount; job++) {
            FinalRecord ended = new FinalRecord(jobId(job), false, 1, 1, false);
            putValue("final/" + jobId(job), ended.toMap(RecordFormat.COMPACT));
        }
    }

    private void putValue(String key, Map<String, Object> value) {
        Map<String, Object> put = new LinkedHashMap<>();
        put.put("put", key);
        put.put("value", value);
        store.handle(
                "POST",
                "/txn",
                Map.of("if", List.of(), "then", List.of(put)),
                (status, answer) -> assertEquals(OK, status));
    }

    private void startNodes() {
        nodes.clear();
        for (int node = 0; node < NODES; node++) {
            nodes.add(startNode(node));
        }
    }

    private JobApi startNode(int index) {
        ServiceSettings settings = settings(index);
        StoreClient client =
                new StoreClient(
                        sim.loop(),
                        this::request,
                        settings,
                        new StoreLimits(LIMITS),
                        new Random(index),
                        served -> {});
        return new JobApi(
                sim.loop(),
                client,
                settings,
                new JobApi.RecordPolicy() {
                    @Override
                    public RecordFormat writeFormat() {
                        return RecordFormat.COMPACT;
                    }

                    @Override
                    public int maxValueBytes() {
                        return LIMITS.valueBytes();
                    }

                    @Override
                    public void onFormatSeen(RecordFormat format) {}
                },
                new JobApi.MachineTypeSource() {
                    @Override
                    public List<MachineType> currentTypes() {
                        return List.of();
                    }

                    @Override
                    public void refresh(Consumer<Boolean> answered) {
                        answered.accept(false);
                    }
                },
                (record, revision) -> {},
                (jobId, patience, answer) -> answer.accept(true));
    }

    private static ServiceSettings settings(int index) {
        return NodeSettings.of(
                "node-" + index,
                NodeSettings.peersOf(index, NODES, other -> "0:" + other),
                List.of("a"),
                List.of(),
                LIMITS);
    }

    /** Simulates the network to the store, and its request rate limit, which all nodes share. */
    private void request(
            String address,
            String method,
            String path,
            byte[] body,
            long timeout,
            HttpTransport.Callback callback) {
        SingleAnswer answer = new SingleAnswer(callback);
        sim.after(timeout, () -> answer.answer(HttpTransport.NO_RESPONSE, Map.of()));
        if (storeSilent) {
            return;
        }
        sim.after(
                2_000,
                () -> {
                    if (takeRequestToken()) {
                        store.handle(
                                method,
                                path,
                                Map.of(),
                                (status, map) ->
                                        sim.after(4_000, () -> answer.answer(status, map)));
                    } else {
                        answer.answer(TOO_MANY_REQUESTS, Map.of());
                    }
                });
    }

    private boolean takeRequestToken() {
        double refilled = (sim.now() - requestTokensAt) * LIMITS.rps() / SECOND;
        requestTokens = Math.min(LIMITS.rps(), requestTokens + refilled);
        requestTokensAt = sim.now();
        if (requestTokens < 1) {
            return false;
        }
        requestTokens--;
        return true;
    }

    /** Makes every node read all jobs, at a rate below every rate limit. */
    private void warmUp() {
        for (int job = 0; job < jobCount; job++) {
            for (int node = 0; node < NODES; node++) {
                ask(node, job);
            }
            sim.run(sim.now() + SECOND / WARM_UP_JOBS_PER_SECOND);
        }
    }

    private void ask(int node, int job) {
        long askedAt = sim.now();
        nodes.get(node)
                .status(
                        jobId(job),
                        response -> {
                            boolean inTime = sim.now() - askedAt <= USER_TIMEOUT;
                            if (response.status() == OK && inTime) {
                                lastAnswered[job] = sim.now();
                                answers++;
                            } else {
                                refusals++;
                            }
                        });
    }

    /** Polls each job every five seconds, at each node in turn. */
    private void startPolling() {
        for (int job = 0; job < jobCount; job++) {
            poll(job, random.nextInt(NODES), random.nextInt((int) POLL_INTERVAL));
        }
    }

    private void poll(int job, int node, long delay) {
        sim.after(
                delay,
                () -> {
                    ask(node, job);
                    poll(job, (node + 1) % NODES, POLL_INTERVAL);
                });
    }

    /** Cancels a job every five seconds, at each node in turn, until there is an answer. */
    private void cancelUntilAnswered(int job, int node, long delay) {
        sim.after(
                delay,
                () -> {
                    long askedAt = sim.now();
                    nodes.get(node)
                            .cancel(jobId(job), response -> onCancelled(job, askedAt, response));
                    sim.after(
                            CANCELLATION_TIMEOUT,
                            () -> {
                                if (lastAnswered[job] < askedAt) {
                                    cancelUntilAnswered(job, (node + 1) % NODES, 1);
                                }
                            });
                });
    }

    private void onCancelled(int job, long askedAt, Response response) {
        if (response.status() == OK && sim.now() - askedAt < CANCELLATION_TIMEOUT) {
            lastAnswered[job] = sim.now();
        }
    }

    private void pollWithoutFaults() {
        startPolling();
        sim.run(sim.now() + FAULT_FREE_MICROS);
        long since = sim.now() - 2 * POLL_INTERVAL;
        assertEquals(0, unansweredSince(since), "jobs unanswered before any fault");
        assertTrue(answers > JOBS, answers + " answers");
    }

    private long unansweredSince(long since) {
        return Arrays.stream(lastAnswered, 0, jobCount)
                .filter(answered -> answered < since)
                .count();
    }

    /**
     * Runs until every job has been answered since now, the end of all faults; fails after {@link
     * #MAX_UNANSWERED}.
     */
    private void assertAllAnsweredAgain() {
        long faultsEnd = sim.now();
        answers = 0;
        refusals = 0;
        while (unansweredSince(faultsEnd) > 0 && sim.now() - faultsEnd < MAX_UNANSWERED) {
            sim.run(sim.now() + SECOND);
        }
        assertEquals(
                0,
                unansweredSince(faultsEnd),
                () ->
                        String.format(
                                "jobs unanswered %d s after the end of all faults;"
                                        + " %d polls answered, %d not",
                                (sim.now() - faultsEnd) / SECOND, answers, refusals));
    }

    @Test
    void allPollsAreAnsweredAfterStoreOutage() {
        warmUp();
        pollWithoutFaults();
        store.setOutage(true);
        sim.run(sim.now() + OUTAGE_MICROS);
        store.setOutage(false);
        assertAllAnsweredAgain();
    }

    @Test
    void allPollsAreAnsweredAfterStoreReadsTimedOut() {
        warmUp();
        pollWithoutFaults();
        storeSilent = true;
        sim.run(sim.now() + SILENCE_MICROS);
        storeSilent = false;
        assertAllAnsweredAgain();
    }

    @Test
    void allPollsAreAnsweredAfterAllNodesRestart() {
        warmUp();
        pollWithoutFaults();
        startNodes();
        assertAllAnsweredAgain();
    }

    @Test
    void pollsOfEndedJobsAreAnsweredAfterAllNodesRestart() {
        addEndedJobs();
        warmUp();
        pollWithoutFaults();
        startNodes();
        assertAllAnsweredAgain();
    }

    @Test
    void repeatedCancellationsOfEndedJobsAreAnsweredAfterAllNodesRestart() {
        warmUp();
        pollWithoutFaults();
        addEndedJobs();
        startNodes();
        jobCount = JOBS + REPEATED_REQUESTS;
        for (int job = JOBS; job < jobCount; job++) {
            cancelUntilAnswered(job, job % NODES, random.nextInt((int) POLL_INTERVAL));
        }
        assertAllAnsweredAgain();
    }

    @Test
    void pollsOfPipelinesAreAnsweredAfterAllNodesRestart() throws MalformedMessageException {
        for (int job = 0; job < JOBS; job++) {
            if (job % PIPELINE_LENGTH != 0) {
                put(job, jobId(job - 1));
            }
        }
        warmUp();
        pollWithoutFaults();
        startNodes();
        assertAllAnsweredAgain();
    }

    /** Guards against jobs forgotten because a node asked once for each path to a dependency. */
    @Test
    void pollOfPipelineWithManyPathsIsAnsweredInTime() throws MalformedMessageException {
        int last = STAGES * JOBS_PER_STAGE - 1;
        for (int job = JOBS_PER_STAGE; job <= last; job++) {
            put(job, previousStage(job));
        }
        ask(0, last);
        sim.run(sim.now() + USER_TIMEOUT);
        assertEquals(List.of(1, 0), List.of(answers, refusals), "polls answered and refused");
        putRecord(0, record(0).withCancellation());
        ask(0, last);
        sim.run(sim.now() + USER_TIMEOUT);
        assertEquals(List.of(1, 1), List.of(answers, refusals), "after a cancellation");
    }

    /** Guards against jobs forgotten because each level of dependencies took a round of its own. */
    @Test
    void pollsOfLongChainAreAnsweredAfterAllNodesRestart() throws MalformedMessageException {
        for (int job = 1; job < JOBS; job++) {
            put(job, jobId(job - 1));
        }
        startPolling();
        sim.run(sim.now() + SECOND);
        startNodes();
        assertAllAnsweredAgain();
    }

    @Test
    void invalidRequestsAreAnsweredDuringOverload() {
        startPolling();
        storeSilent = true;
        sim.run(sim.now() + SILENCE_MICROS);
        JobApi node = nodes.get(0);
        List<Integer> statuses = new ArrayList<>();
        node.status("no job's id", response -> statuses.add(response.status()));
        node.cancel("no job's id", response -> statuses.add(response.status()));
        node.submit(new byte[] {1, 2, 3}, response -> statuses.add(response.status()));
        assertEquals(
                List.of(NOT_FOUND, NOT_FOUND, BAD_REQUEST), statuses, "statuses answered at once");
        storeSilent = false;
        sim.run(sim.now() + MAX_UNANSWERED);
        node.status(UNKNOWN_JOB, response -> statuses.add(response.status()));
        sim.run(sim.now() + USER_TIMEOUT);
        assertEquals(
                NOT_FOUND,
                statuses.get(statuses.size() - 1),
                "status of a job that nobody submitted");
    }
}
