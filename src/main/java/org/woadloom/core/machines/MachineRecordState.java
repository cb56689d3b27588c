package org.woadloom.core.machines;

import org.woadloom.core.SchedulerEvent;
import org.woadloom.store.MachineRecord;

/**
 * What the store holds about a machine, and the request to the store that is in flight, at most one
 * at a time. After a write with unknown outcome the record is read and then written again, on
 * condition of the revision just read. This makes the earlier write fail if it is still in flight.
 */
final class MachineRecordState {
    /** Half the range of a long, so that time differences do not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long revision;
    private boolean recorded;
    private boolean requestInFlight;
    private boolean readNeeded;
    private long retryAtMicros;
    private boolean rewriteNeeded;
    private boolean decommissioningRecorded;
    private boolean heartbeatRecorded;
    private boolean heartbeatInWrite;
    private long writeStartedMicros = NEVER;

    MachineRecordState(MachineRecord record) {
        decommissioningRecorded = record.decommissioning();
        heartbeatRecorded = record.lifecycle() != null && record.lifecycle().hasReported();
    }

    /** The stored record is up to date, at the given revision. */
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
        heartbeatInWrite = record.lifecycle() != null && record.lifecycle().hasReported();
        rewriteNeeded = false;
    }

    /** A read or deletion of the record starts. */
    void onRequestStarted() {
        requestInFlight = true;
    }

    void onWritten(SchedulerEvent.MachineWriteCompleted result) {
        requestInFlight = false;
        recorded = !result.deleted();
        revision = result.deleted() ? 0 : result.revision();
        decommissioningRecorded = result.decommissioning();
        heartbeatRecorded = !result.deleted() && heartbeatInWrite;
    }

    /** The outcome of a write is unknown, or the record had another revision. */
    void onWriteUnclear() {
        requestInFlight = false;
        readNeeded = true;
    }

    /** The request in flight had no effect, and is due again at the given time. */
    void onRequestFailed(long retryMicros) {
        requestInFlight = false;
        retryAtMicros = retryMicros;
    }

    /**
     * The record was read after an unclear write. It counts as not recorded, so that it is written
     * again; the record of a deleted machine only has to be deleted.
     */
    void onRead(SchedulerEvent.MachineRecordRead result, boolean machineDeleted) {
        MachineRecord record = result.record();
        requestInFlight = false;
        readNeeded = false;
        recorded = machineDeleted && record != null;
        revision = record == null ? 0 : result.revision();
        decommissioningRecorded = record != null && record.decommissioning();
    }

    /** No request is sent before this time. */
    void retryAt(long micros) {
        retryAtMicros = micros;
    }

    boolean isRequestDue(long nowMicros) {
        return nowMicros >= retryAtMicros && !requestInFlight;
    }

    /** True while a write that started at or before the given time may still change the record. */
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

    /** True if the stored record says that the machine's agent has sent a heartbeat. */
    boolean isHeartbeatRecorded() {
        return heartbeatRecorded;
    }
}
