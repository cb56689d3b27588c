package org.woadloom.reads;

import java.util.Map;
import org.woadloom.protocol.JobStatus;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;

/**
 * What the store says of a job: one of {@code record}, {@code finalState} and {@code damaged} is
 * there, or none of them where the job is unknown.
 *
 * @param record the record of a job that is not over, or null
 * @param format the format of that record, or null
 * @param revision the revision of the record, readable or not; 0 without one
 * @param finalState the final state of a job that is over, or null
 * @param unreadableStatus the status that is told of a record that can't be read, or null
 */
public record JobLookup(
        JobRecord record,
        RecordFormat format,
        long revision,
        FinalRecord finalState,
        JobStatus unreadableStatus) {
    /** In a job's record, in every format. */
    private static final String CANCELLED_FIELD = "cancelled";

    static final JobLookup UNKNOWN = new JobLookup(null, null, 0, null, null);

    static JobLookup of(JobRecord record, RecordFormat format, long revision) {
        return new JobLookup(record, format, revision, null, null);
    }

    static JobLookup ofFinalState(FinalRecord finalState) {
        return new JobLookup(null, null, 0, finalState, null);
    }

    /**
     * A job with a record that can't be read. It was accepted and has no final state yet, and
     * whether it was cancelled is in a field of its own; nothing else is known.
     */
    static JobLookup unreadable(String jobId, Map<String, Object> value, long revision) {
        boolean cancelled = value != null && Boolean.TRUE.equals(value.get(CANCELLED_FIELD));
        return new JobLookup(
                null,
                null,
                revision,
                null,
                JobStatus.withoutCounts(jobId, cancelled ? JobStatus.CANCELLED : JobStatus.QUEUED));
    }

    /** The status that users are told; null for a job that was never accepted. */
    public JobStatus status() {
        if (finalState != null) {
            return finalState.status();
        }
        return record != null ? record.status() : unreadableStatus;
    }

    /** False where that is not known. */
    public boolean isService() {
        return finalState != null
                ? finalState.isService()
                : record != null && record.description().isService();
    }
}
