package org.woadloom.reads;

import java.util.Map;
import org.woadloom.protocol.JobStatus;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;

/**
 * What the store says of a job: one of the records, or neither where it is unknown.
 *
 * @param unread what is told of a record that is there and can't be read; null otherwise
 */
public record JobLookup(
        JobRecord record,
        RecordFormat format,
        long revision,
        FinalRecord finalState,
        JobStatus damaged) {
    static final JobLookup UNKNOWN = new JobLookup(null, null, 0, null, null);

    static JobLookup of(JobRecord record, RecordFormat format, long revision) {
        return new JobLookup(record, format, revision, null, null);
    }

    static JobLookup ofFinalState(FinalRecord finalState) {
        return new JobLookup(null, null, 0, finalState, null);
    }

    /**
     * A job that has a record was accepted and has no final state yet, whatever else can't be read;
     * that it was cancelled is said by a field of its own. More is not known, and it is neither
     * forgotten nor over.
     */
    static JobLookup unreadable(String jobId, Map<String, Object> value, long revision) {
        boolean cancelled = value != null && Boolean.TRUE.equals(value.get("cancelled"));
        return new JobLookup(
                null,
                null,
                revision,
                null,
                new JobStatus(jobId, cancelled ? "cancelled" : "queued", -1, 0));
    }

    /** Null for a job that was never accepted. */
    public JobStatus status() {
        return finalState != null
                ? finalState.status()
                : record != null ? record.status() : damaged;
    }

    public boolean isService() {
        return finalState != null
                ? finalState.service()
                : record != null && record.description().isService();
    }
}
