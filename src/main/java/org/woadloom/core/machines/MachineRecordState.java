package org.woadloom.core.machines;

import org.woadloom.core.SchedulerEvent;
import org.woadloom.store.MachineRecord;

/**
 * What the store has of a machine, and the request to the store that is under way. There is one
 * request at a time. After a write whose outcome is unknown the record is read, and then written
 * once more on the revision just read: that voids the earlier write if it is still under way.
 */
final class MachineRecordState {
    /** Half the range, so that differences do not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long revision;
    private boolean recorded;
    private boolean requestInFlight;
    private boolean readNeeded;
    private long retryAtMicros;
    private boolean rewriteNeeded;
    private boolean decommissioningRecorded;
    private boolean reportedRecorded;
    private boolean reportedInWrite;
    private long writeStartedMicros = NEVER;

    MachineRecordState(MachineRecord record) {
        decommissioningRecorded = record.decommissioning();
        reportedRecorded = record.lifecycle() != null && record.lifecycle().hasReported();
    }

    /** The record stands in the store as it should. */
    void onRecorded(long newRevision) {
        recorded = true;
        revision = newRevision;
    }

    void requestRewrite() {
        rewriteNeeded = true;
    }

    void onWriteStarted(MachineRecord record, long nowMicros) {
        requestInFlight = true;
        writeStartedMicros = nowMicros;
        reportedInWrite = record.lifecycle() != null && record.lifecycle().hasReported();
        rewriteNeeded = false;
    }

    /** The record is read, or deleted. */
    void onRequestStarted() {
        requestInFlight = true;
    }

    void onWritten(SchedulerEvent.MachineWriteCompleted result) {
        requestInFlight = false;
        recorded = !result.deleted();
        revision = result.deleted() ? 0 : result.revision();
        decommissioningRecorded = result.decommissioning();
        reportedRecorded = !result.deleted() && reportedInWrite;
    }

    /** The outcome of a write is unknown, or it met another revision. */
    void onWriteUnclear() {
        requestInFlight = false;
        readNeeded = true;
    }

    /** The last request had no effect and is due again at the given time. */
    void onRequestFailed(long retryMicros) {
        requestInFlight = false;
        retryAtMicros = retryMicros;
    }

    /**
     * The record was read. It counts as not recorded, so that it is written again; that of a
     * deleted machine is only to be deleted.
     */
    void onRead(SchedulerEvent.MachineRecordRead result, boolean machineDeleted) {
        MachineRecord record = result.record();
        requestInFlight = false;
        readNeeded = false;
        recorded = machineDeleted && record != null;
        revision = record == null ? 0 : result.revision();
        decommissioningRecorded = record != null && record.decommissioning();
    }

    /** Nothing is requested before this time. */
    void retryAt(long micros) {
        retryAtMicros = micros;
    }

    boolean isRequestDue(long nowMicros) {
        return nowMicros >= retryAtMicros && !requestInFlight;
    }

    /** True while a write that began at the given moment or before may still change the record. */
    boolean mayChange(long sinceMicros) {
        return (requestInFlight || readNeeded) && writeStartedMicros <= sinceMicros;
    }

    long revision() {
        return revision;
    }

    boolean isRecorded() {
        return recorded;
    }

    boolean isRequestInFlight() {
        return requestInFlight;
    }

    boolean isReadNeeded() {
        return readNeeded;
    }

    boolean isRewriteNeeded() {
        return rewriteNeeded;
    }

    boolean isDecommissioningRecorded() {
        return decommissioningRecorded;
    }

    /** True if the stored record says that an agent on the machine has reported. */
    boolean isReportedRecorded() {
        return reportedRecorded;
    }
}
