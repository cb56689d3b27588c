package org.woadloom.reads;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Reads single jobs by key. Caches only facts that never change: final states, and that a job was
 * accepted.
 */
public final class JobReader {
    private static final Logger LOG = LoggerFactory.getLogger(JobReader.class);

    /**
     * Number of cached jobs: enough for the 12,000 open jobs of 4,000 machines and recently ended
     * jobs. Evicted entries are read again on demand.
     */
    private static final int MAX_CACHED = 20_000;

    private final StoreClient store;
    private final Consumer<RecordFormat> formatListener;
    private final Cache<String, FinalRecord> finalStates =
            Caffeine.newBuilder().maximumSize(MAX_CACHED).executor(Runnable::run).build();

    /** Jobs that are known to be accepted, and whether each of them is a service. */
    private final Cache<String, Boolean> acceptedJobs =
            Caffeine.newBuilder().maximumSize(MAX_CACHED).executor(Runnable::run).build();

    /**
     * @param formatListener receives the format of every record that is read
     */
    public JobReader(StoreClient store, Consumer<RecordFormat> formatListener) {
        this.store = store;
        this.formatListener = formatListener;
    }

    /** Records that this node has accepted a job. */
    public void onAccepted(String jobId, boolean isService) {
        acceptedJobs.put(jobId, isService);
    }

    /**
     * Returns whether an accepted job is a service, or null for a job that is not known to be
     * accepted.
     */
    public Boolean isAcceptedService(String jobId) {
        return acceptedJobs.getIfPresent(jobId);
    }

    /** Returns the job's final state if this node has read it before, or null. */
    public JobLookup cachedFinalState(String jobId) {
        FinalRecord cached = finalStates.getIfPresent(jobId);
        return cached == null ? null : JobLookup.ofFinalState(cached);
    }

    /**
     * Reads a job from the store, unless its final state is cached. The result is null if the store
     * did not provide an answer.
     */
    public void lookUp(String jobId, Consumer<JobLookup> consumer) {
        lookUp(jobId, StoreClient.NO_DEADLINE, consumer);
    }

    /**
     * Reads a job like {@link #lookUp(String, Consumer)}. A request that has not been sent by the
     * deadline is dropped.
     */
    public void lookUp(String jobId, long deadlineMicros, Consumer<JobLookup> consumer) {
        lookUp(RequestPriority.NORMAL, jobId, deadlineMicros, consumer);
    }

    /** Reads a job like {@link #lookUp(String, Consumer)}, with the given request priority. */
    public void lookUp(RequestPriority priority, String jobId, Consumer<JobLookup> consumer) {
        lookUp(priority, jobId, StoreClient.NO_DEADLINE, consumer);
    }

    /** Reads a job with the given request priority and deadline. */
    void lookUp(
            RequestPriority priority,
            String jobId,
            long deadlineMicros,
            Consumer<JobLookup> consumer) {
        JobLookup cached = cachedFinalState(jobId);
        if (cached != null) {
            consumer.accept(cached);
            return;
        }
        store.get(
                priority,
                StoreKeys.job(jobId),
                deadlineMicros,
                (result, entry, storeRevision) -> {
                    if (result == Result.NOT_FOUND) {
                        lookUpFinalState(followUpOf(priority), jobId, deadlineMicros, consumer);
                    } else {
                        consumer.accept(
                                result == Result.OK
                                        ? parse(jobId, entry.value(), entry.revision())
                                        : null);
                    }
                });
    }

    private static RequestPriority followUpOf(RequestPriority priority) {
        return priority == RequestPriority.NORMAL ? RequestPriority.FOLLOW_UP : priority;
    }

    /**
     * Reads only a job's record. The result is null if the store did not provide an answer or there
     * is no record, so null does not mean that the job does not exist.
     */
    public void lookUpRecord(RequestPriority priority, String jobId, Consumer<JobLookup> consumer) {
        store.get(
                priority,
                StoreKeys.job(jobId),
                (result, entry, storeRevision) ->
                        consumer.accept(
                                result == Result.OK
                                        ? parse(jobId, entry.value(), entry.revision())
                                        : null));
    }

    /**
     * Reads a job's final state. A job moves from its record to its final state in one transaction,
     * so reading the record first and the final state second cannot miss it.
     */
    void lookUpFinalState(
            RequestPriority priority,
            String jobId,
            long deadlineMicros,
            Consumer<JobLookup> consumer) {
        store.get(
                priority,
                StoreKeys.finalState(jobId),
                deadlineMicros,
                (result, entry, storeRevision) -> {
                    if (result == Result.NOT_FOUND) {
                        consumer.accept(JobLookup.UNKNOWN);
                    } else {
                        consumer.accept(
                                result == Result.OK ? parseFinalState(jobId, entry.value()) : null);
                    }
                });
    }

    /** Decodes and caches a final state; returns null if it cannot be decoded. */
    JobLookup parseFinalState(String jobId, Map<String, Object> value) {
        try {
            FinalRecord finalState = FinalRecord.parse(jobId, value);
            finalStates.put(jobId, finalState);
            acceptedJobs.put(jobId, finalState.isService());
            return JobLookup.ofFinalState(finalState);
        } catch (MalformedMessageException e) {
            return null;
        }
    }

    /** Decodes a job's record. Returns null for a record in a format of a later release. */
    JobLookup parse(String jobId, Map<String, Object> value, long revision) {
        try {
            RecordFormat format = JobRecord.formatOf(value);
            formatListener.accept(format);
            JobRecord record = JobRecord.parse(value);
            acceptedJobs.put(jobId, record.description().isService());
            return JobLookup.of(record, format, revision);
        } catch (MalformedMessageException e) {
            LOG.error(
                    "event=record_unreadable key={} error=\"{}\"",
                    StoreKeys.job(jobId),
                    e.getMessage());
            return JobRecord.isOfLaterVersion(value)
                    ? null
                    : JobLookup.unreadable(jobId, value, revision);
        }
    }
}
