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
 * Reads one job by its keys. Only what never changes is kept: final states, and that a job was
 * accepted.
 */
public final class JobReader {
    private static final Logger LOG = LoggerFactory.getLogger(JobReader.class);
    private static final int MOST_KEPT = 20_000;

    private final StoreClient state;
    private final Consumer<RecordFormat> formatSeen;
    private final Cache<String, FinalRecord> finals =
            Caffeine.newBuilder().maximumSize(MOST_KEPT).executor(Runnable::run).build();

    /** Jobs that are known to be accepted, which stays true; true for services. */
    private final Cache<String, Boolean> accepted =
            Caffeine.newBuilder().maximumSize(MOST_KEPT).executor(Runnable::run).build();

    /**
     * @param formatSeen hears in which format a record is
     */
    public JobReader(StoreClient state, Consumer<RecordFormat> formatSeen) {
        this.state = state;
        this.formatSeen = formatSeen;
    }

    public void accepted(String jobId, boolean service) {
        accepted.put(jobId, service);
    }

    /** Whether an accepted job is a service; null for a job that is not known to be accepted. */
    public Boolean acceptedService(String jobId) {
        return accepted.getIfPresent(jobId);
    }

    /** The job's final state if it was ever read here, or null. */
    public JobLookup known(String jobId) {
        FinalRecord known = finals.getIfPresent(jobId);
        return known == null ? null : JobLookup.over(known);
    }

    /**
     * Reads a job from the store, unless its final state is known; null if the store does not say.
     */
    public void look(String jobId, Consumer<JobLookup> consumer) {
        look(RequestPriority.NORMAL, jobId, consumer);
    }

    /** The same; of a job that is known to be over the final state is read at once. */
    void look(String jobId, boolean over, Consumer<JobLookup> consumer) {
        if (over && known(jobId) == null) {
            lookForFinal(
                    RequestPriority.NORMAL,
                    jobId,
                    looked -> {
                        if (looked == JobLookup.UNKNOWN) {
                            look(jobId, consumer);
                        } else {
                            consumer.accept(looked);
                        }
                    });
        } else {
            look(jobId, consumer);
        }
    }

    /** The same, before or after what else this node asks of the store. */
    public void look(RequestPriority urgency, String jobId, Consumer<JobLookup> consumer) {
        JobLookup known = known(jobId);
        if (known != null) {
            consumer.accept(known);
            return;
        }
        state.get(
                urgency,
                StoreKeys.job(jobId),
                (result, entry, storeRevision) -> {
                    if (result == Result.NOT_FOUND) {
                        lookForFinal(urgency, jobId, consumer);
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
    public void lookForRecord(RequestPriority urgency, String jobId, Consumer<JobLookup> consumer) {
        state.get(
                urgency,
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
    private void lookForFinal(RequestPriority urgency, String jobId, Consumer<JobLookup> consumer) {
        state.get(
                urgency,
                StoreKeys.finalState(jobId),
                (result, entry, storeRevision) -> {
                    JobLookup looked = null;
                    if (result == Result.NOT_FOUND) {
                        looked = JobLookup.UNKNOWN;
                    } else if (result == Result.OK) {
                        try {
                            FinalRecord record = FinalRecord.parse(jobId, entry.value());
                            finals.put(jobId, record);
                            accepted.put(jobId, record.service());
                            looked = JobLookup.over(record);
                        } catch (MalformedMessageException e) {
                            // What can't be read says nothing.
                        }
                    }
                    consumer.accept(looked);
                });
    }

    /** What a job's record says; null for one of a later version. */
    JobLookup parse(String jobId, Map<String, Object> value, long revision) {
        try {
            RecordFormat format = JobRecord.formatOf(value);
            formatSeen.accept(format);
            JobRecord record = JobRecord.parse(value);
            accepted.put(jobId, record.description().isService());
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
