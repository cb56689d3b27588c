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
 * Reads one job by its keys. Only what never changes is cached: final states, and that a job was
 * accepted.
 */
public final class JobReader {
    private static final Logger LOG = LoggerFactory.getLogger(JobReader.class);

    /**
     * Jobs: the 12,000 open ones of 4,000 machines, and those that ended lately. What is evicted is
     * read again when it is asked for.
     */
    private static final int MAX_CACHED = 20_000;

    private final StoreClient store;
    private final Consumer<RecordFormat> formatSeen;
    private final Cache<String, FinalRecord> finalStates =
            Caffeine.newBuilder().maximumSize(MAX_CACHED).executor(Runnable::run).build();

    /** The jobs that are known to be accepted, and whether each is a service. */
    private final Cache<String, Boolean> acceptedJobs =
            Caffeine.newBuilder().maximumSize(MAX_CACHED).executor(Runnable::run).build();

    /**
     * @param formatSeen is notified of the format of each record that is read
     */
    public JobReader(StoreClient store, Consumer<RecordFormat> formatSeen) {
        this.store = store;
        this.formatSeen = formatSeen;
    }

    /** Notes that a job was accepted by this node. */
    public void onAccepted(String jobId, boolean service) {
        acceptedJobs.put(jobId, service);
    }

    /** Whether an accepted job is a service; null for a job that is not known to be accepted. */
    public Boolean isAcceptedService(String jobId) {
        return acceptedJobs.getIfPresent(jobId);
    }

    /** The job's final state if it was ever read here, or null. */
    public JobLookup knownFinalState(String jobId) {
        FinalRecord known = finalStates.getIfPresent(jobId);
        return known == null ? null : JobLookup.ofFinalState(known);
    }

    /**
     * Reads a job from the store, unless its final state is known; null if the store does not say.
     */
    public void lookUp(String jobId, Consumer<JobLookup> consumer) {
        lookUp(jobId, StoreClient.NO_DEADLINE, consumer);
    }

    /** The same; a request that has not been sent by the deadline is given up. */
    public void lookUp(String jobId, long deadlineMicros, Consumer<JobLookup> consumer) {
        lookUp(RequestPriority.NORMAL, jobId, deadlineMicros, consumer);
    }

    /**
     * The same with a priority among the other requests of this node to the store.
     *
     * @param over whether the job is known to be over: then its final state is read first
     */
    void lookUp(
            RequestPriority priority,
            String jobId,
            boolean over,
            long deadlineMicros,
            Consumer<JobLookup> consumer) {
        if (over && knownFinalState(jobId) == null) {
            lookUpFinalState(
                    priority,
                    jobId,
                    deadlineMicros,
                    lookup -> {
                        @SuppressWarnings("ReferenceEquality") // The one constant that says so.
                        boolean unknown = lookup == JobLookup.UNKNOWN;
                        if (unknown) {
                            lookUp(priority, jobId, deadlineMicros, consumer);
                        } else {
                            consumer.accept(lookup);
                        }
                    });
        } else {
            lookUp(priority, jobId, deadlineMicros, consumer);
        }
    }

    /** The same, with a priority among the other requests of this node to the store. */
    public void lookUp(RequestPriority priority, String jobId, Consumer<JobLookup> consumer) {
        lookUp(priority, jobId, StoreClient.NO_DEADLINE, consumer);
    }

    private void lookUp(
            RequestPriority priority,
            String jobId,
            long deadlineMicros,
            Consumer<JobLookup> consumer) {
        JobLookup known = knownFinalState(jobId);
        if (known != null) {
            consumer.accept(known);
            return;
        }
        store.get(
                priority,
                StoreKeys.job(jobId),
                deadlineMicros,
                (result, entry, storeRevision) -> {
                    if (result == Result.NOT_FOUND) {
                        lookUpFinalState(priority, jobId, deadlineMicros, consumer);
                    } else {
                        consumer.accept(
                                result == Result.OK
                                        ? parse(jobId, entry.value(), entry.revision())
                                        : null);
                    }
                });
    }

    /**
     * Reads a job's record alone; null if the store does not say or there is none, which does not
     * say that there is no job.
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
     * A job moves from its record to its final state in one transaction, so this order of reading
     * can't miss it.
     */
    private void lookUpFinalState(
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

    /** Null for one that can't be read. */
    private JobLookup parseFinalState(String jobId, Map<String, Object> value) {
        try {
            FinalRecord finalState = FinalRecord.parse(jobId, value);
            finalStates.put(jobId, finalState);
            acceptedJobs.put(jobId, finalState.isService());
            return JobLookup.ofFinalState(finalState);
        } catch (MalformedMessageException e) {
            return null;
        }
    }

    /** Parses a job's record; null for one of a later version. */
    JobLookup parse(String jobId, Map<String, Object> value, long revision) {
        try {
            RecordFormat format = JobRecord.formatOf(value);
            formatSeen.accept(format);
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
