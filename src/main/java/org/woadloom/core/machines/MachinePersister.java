package org.woadloom.core.machines;

import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.store.MachineRecord;

/** Keeps the stored machine records up to date with the leader's state. */
final class MachinePersister {
    private static final long RETRY_MICROS = 300_000;

    private final SchedulerState state;

    MachinePersister(SchedulerState state) {
        this.state = state;
    }

    /** Emits the requests for records that are due, as far as the write budget allows. */
    void emitWrites() {
        state.removeMachinesToPersistIf(MachinePersister::isPersisted);
        // Machines that are up come first: they can take tasks as soon as their record is stored.
        for (Machine machine : state.machinesToPersist()) {
            MachineRecordState record = machine.recordState;
            if (machine.isKnownAlive()
                    && !record.isRecorded()
                    && !machine.isDeleted()
                    && !record.isReadNeeded()
                    && record.isRequestDue(state.nowMicros())
                    && state.writeBudget().allowsMachineWrite()) {
                emitWrite(machine);
            }
        }
        for (Machine machine : state.machinesToPersist()) {
            if (machine.recordState.isRequestDue(state.nowMicros())) {
                emitRequest(machine);
            }
        }
    }

    /** True if nothing is left to write for the machine, and it is not to be deleted. */
    private static boolean isPersisted(Machine machine) {
        MachineRecordState record = machine.recordState;
        if (machine.isDeleted()) {
            return !record.isRecorded() && !record.isRequestInFlight() && !record.isReadNeeded();
        }
        return record.isRecorded()
                && !record.isReadNeeded()
                && !machine.isDecommissioning()
                && !record.isRewriteNeeded();
    }

    /** True if the stored record of a machine that is not deleted is out of date. */
    static boolean needsWrite(Machine machine) {
        MachineRecordState record = machine.recordState;
        return !record.isRecorded()
                || machine.isDecommissioning() != record.isDecommissioningRecorded()
                || (record.isRewriteNeeded() && !machine.lifecycle.isDeleting());
    }

    private void emitRequest(Machine machine) {
        MachineRecordState record = machine.recordState;
        if (record.isReadNeeded()) {
            record.onRequestStarted();
            state.emit(new SchedulerAction.ReadMachine(machine.host));
        } else if (machine.isDeleted()) {
            if (record.isRecorded() && state.writeBudget().allowsMachineWrite()) {
                state.writeBudget().consumeMachineToken();
                record.onRequestStarted();
                state.emit(
                        new SchedulerAction.DeleteMachineRecord(machine.host, record.revision()));
            }
        } else if (needsWrite(machine) && state.writeBudget().allowsMachineWrite()) {
            emitWrite(machine);
        }
    }

    private void emitWrite(Machine machine) {
        state.writeBudget().consumeMachineToken();
        MachineRecord record = machine.toRecord();
        machine.recordState.onWriteStarted(record, state.nowMicros());
        state.emit(new SchedulerAction.WriteMachine(record, machine.recordState.revision()));
    }

    void onWriteCompleted(SchedulerEvent.MachineWriteCompleted result) {
        Machine machine = state.machines().get(result.host());
        if (machine == null) {
            return;
        }
        MachineRecordState record = machine.recordState;
        switch (result.outcome()) {
            case WRITTEN -> {
                record.onWritten(result);
                state.requestPlacement();
            }
            case CONFLICT, UNKNOWN -> {
                record.onWriteUnclear();
                machine.markForPersistence();
            }
            case NOT_WRITTEN, TOO_LARGE -> record.onRequestFailed(state.nowMicros() + RETRY_MICROS);
        }
    }

    void onRecordRead(SchedulerEvent.MachineRecordRead result) {
        Machine machine = state.machines().get(result.host());
        if (machine != null) {
            machine.recordState.onRead(result, machine.isDeleted());
            machine.markForPersistence();
        }
    }

    void onReadFailed(String host) {
        Machine machine = state.machines().get(host);
        if (machine != null) {
            machine.recordState.onRequestFailed(state.nowMicros() + RETRY_MICROS);
        }
    }
}
