package org.woadloom.reads;

import java.util.Map;
import org.woadloom.protocol.JobStatus;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;

/**
 * Result of reading a job from the store: exactly one of {@code record}, {@code finalState} and
 * {@code unreadableStatus} is set, or none of them if the job is unknown.
 *
 * @param record record of a job that has not ended, or null
 * @param format format of that record, or null
 * @param revision revision of the record, whether readable or not; 0 without a record
 * @param finalState final state of a job that has ended, or null
 * @param unreadableStatus status reported for a job whose record cannot be decoded, or null
 */
public record JobLookup(
        JobRecord record,
        RecordFormat format,
        long revision,
        FinalRecord finalState,
        JobStatus unreadableStatus) {
    /** Field of a job's record in every format. */
    private static final String CANCELLED_FIELD = "cancelled";

    static final JobLookup UNKNOWN = new JobLookup(null, null, 0, null, null);

    static JobLookup of(JobRecord record, RecordFormat format, long revision) {
        return new JobLookup(record, format, revision, null, null);
    }

    static JobLookup ofFinalState(FinalRecord finalState) {
        return new JobLookup(null, null, 0, finalState, null);
    }

    /**
     * Returns the lookup of a job whose record cannot be decoded. The job was accepted and has no
     * final state yet. Whether it was cancelled is stored in a separate field; nothing else is
     * known.
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

    /** Returns the status reported to users, null for a job that was never accepted. */
    public JobStatus status() {
        if (finalState != null) {
            return finalState.status();
        }
        return record != null ? record.status() : unreadableStatus;
    }

    /** Returns true if the job is known to be a service. */
    public boolean isService() {
        return finalState != null
                ? finalState.isService()
                : record != null && record.description().isService();
    }
}
