package org.woadloom.reads;

import org.woadloom.state.FinalRecord;
import org.woadloom.state.JobRecord;
import org.woadloom.state.RecordFormat;
import org.woadloom.wire.JobStatus;

/** What the store says of a job: one of the records, or neither where it is unknown. */
public record Looked(JobRecord record, RecordFormat format, long stamp, FinalRecord finalState) {
    static final Looked UNKNOWN = new Looked(null, null, 0, null);

    static Looked over(FinalRecord finalState) {
        return new Looked(null, null, 0, finalState);
    }

    /** Null for a job that was never accepted. */
    public JobStatus status() {
        return finalState != null ? finalState.status() : record != null ? record.status() : null;
    }

    public boolean service() {
        return finalState != null ? finalState.service() : record.description().service();
    }
}
