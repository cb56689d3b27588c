package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.JobReader;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;

/** The open jobs of about 4,000 machines are polled repeatedly at one node. */
class ManyJobsReadsTest {
    private static final int JOBS = 12_000;
    private static final long SECOND = 1_000_000;
    private static final ServiceSettings.Store LIMITS =
            new ServiceSettings.Store(40_000, 40_000, 8192, 12, null);

    private final SimulatedEventLoop sim = new SimulatedEventLoop();
    private final SimulatedStore store = new SimulatedStore(sim, LIMITS).withFullPages();
    private int readsByKey;
    private int answered;

    private void request(
            String address,
            String method,
            String path,
            byte[] body,
            long timeout,
            HttpTransport.Callback callback) {
        readsByKey += path.startsWith("/keys/job/") ? 1 : 0;
        sim.after(
                1_000,
                () ->
                        store.handle(
                                method,
                                path,
                                Map.of(),
                                (status, map) ->
                                        sim.after(
                                                1_000,
                                                () ->
                                                        callback.onResponse(
                                                                status, Cbor.encode(map)))));
    }

    private static String jobId(int number) {
        return String.format("j-%06d", number);
    }

    private void store(int number) throws MalformedMessageException {
        JobDescription job = JobDescription.parse(LoopbackNode.job(jobId(number), "team"));
        Map<String, Object> put = new LinkedHashMap<>();
        put.put("put", "job/" + job.jobId());
        put.put("value", JobRecord.accepted(job, 1).toMap(RecordFormat.COMPACT));
        store.handle(
                "POST",
                "/txn",
                Map.of("if", List.of(), "then", List.of(put)),
                (status, answer) -> assertEquals(200, status));
        sim.run(sim.now() + 100);
    }

    /** Reads every job once, within five seconds. */
    private void pollAll(CoalescingJobReader reads) {
        for (int number = 0; number < JOBS; number++) {
            reads.read(
                    jobId(number),
                    shown -> answered += shown != null && shown.status() != null ? 1 : 0);
            sim.run(sim.now() + 5 * SECOND / JOBS);
        }
    }

    /**
     * Jobs that were evicted between two polls were read by key each time, which exceeded a node's
     * share of store requests.
     */
    @Test
    void repeatedPollsOfOpenJobsReadNoJobByKey() throws MalformedMessageException {
        for (int number = 0; number < JOBS; number++) {
            store(number);
        }
        StoreClient client = SimulatedStore.client(sim.loop(), this::request, LIMITS, 1);
        CoalescingJobReader reads =
                new CoalescingJobReader(
                        sim.loop(), client, new JobReader(client, format -> {}), LIMITS, 1);
        pollAll(reads);
        sim.run(sim.now() + SECOND);
        assertEquals(JOBS, answered);
        assertEquals(0, readsByKey, "reads by key for jobs that the list pages contain");
        pollAll(reads);
        sim.run(sim.now() + SECOND);
        assertEquals(2 * JOBS, answered);
        assertEquals(0, readsByKey, "reads by key for jobs that were polled before");
        reads.read(jobId(JOBS), shown -> {});
        sim.run(sim.now() + SECOND);
        assertEquals(1, readsByKey, "reads by key for a job that does not exist");
    }
}
