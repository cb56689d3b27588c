package org.woadloom.core.machines;

import java.util.List;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.jobs.Job;
import org.woadloom.protocol.ListedMachine;
import org.woadloom.protocol.MachineType;
import org.woadloom.store.MachineRecord;

/**
 * The machines that the leader knows, as they are loaded, rented, listed or named by a heartbeat.
 * Their records are kept by {@link MachinePersister}, their deletion is in {@link MachineDeleter}.
 */
public final class MachineRegistry {
    /** A deleted machine is kept for so many lags of the cloud's list, and the margin. */
    private static final int FORGET_LIST_LAGS = 4;

    private static final long FORGET_MARGIN_MICROS = 60_000_000;

    private final SchedulerState state;
    private final MachinePersister persister;
    private final MachineDeleter deleter;

    public MachineRegistry(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.persister = new MachinePersister(state);
        this.deleter = new MachineDeleter(state, taskLosses);
    }

    /** Takes over a machine from the store, when this node starts to lead. */
    public void load(SchedulerEvent.StoredMachine stored) {
        Machine machine = create(stored.record());
        machine.confirmExistence();
        machine.onRecorded(stored.revision());
    }

    /** A machine that was rented or listed; machines that nobody expected are taken over. */
    public Machine adopt(MachineRecord record) {
        Machine machine = findOrCreate(record);
        machine.confirmExistence();
        return machine;
    }

    /**
     * The machine that a heartbeat names. One that is not known may have been deleted long ago, as
     * copies of heartbeats come late: until its agent has answered, it is no more than a name, with
     * no record, and gets no tasks.
     */
    public Machine findOrCreate(MachineRecord record) {
        Machine machine = state.machines().get(record.host());
        return machine != null ? machine : create(record);
    }

    private Machine create(MachineRecord record) {
        Machine machine = new Machine(record, state);
        state.addMachine(machine);
        setType(machine);
        return machine;
    }

    /** Takes in the types that the cloud rents out, with their prices. */
    public void onMachineTypes(List<MachineType> types) {
        for (MachineType type : types) {
            state.addMachineType(type);
        }
        for (Machine machine : state.machines().values()) {
            setType(machine);
        }
        state.requestPlacement();
    }

    private void setType(Machine machine) {
        machine.setType(state.machineTypes().get(machine.machineType));
    }

    /** Takes in the cloud's list: machines that nobody expected, failures, and rental times. */
    public void onMachinesListed(List<ListedMachine> machines) {
        for (ListedMachine listed : machines) {
            Machine machine = state.machines().get(listed.host());
            if (machine == null || !machine.isConfirmed()) {
                machine = discover(listed);
            }
            // A new leader learns here for how long its machines have been paid for.
            machine.onListedAsRented(state.nowMicros() - listed.rentedForMicros());
            if (listed.hasFailed() && !machine.isDecommissioning()) {
                // A failed machine stays listed until it is deleted, and the deletion's answer is
                // the proof we need.
                machine.fail();
                state.log(
                        LogEntry.info(LogEvent.MACHINE_FAILED)
                                .with("machine", machine.host)
                                .with("zone", machine.zone));
            }
            if (machine.address().isEmpty()) {
                machine.setAddress(listed.address());
            }
        }
    }

    private Machine discover(ListedMachine listed) {
        Machine machine =
                adopt(
                        new MachineRecord(
                                listed.host(),
                                listed.machineType(),
                                listed.zone(),
                                listed.spot(),
                                false));
        state.log(
                LogEntry.info(LogEvent.MACHINE_DISCOVERED)
                        .with("machine", machine.host)
                        .with("zone", machine.zone));
        return machine;
    }

    /** A node announces its status, and gets a lease delegation for the zone that it is in. */
    public void onPeerStatus(SchedulerEvent.PeerStatusReceived event) {
        state.advanceCancellationsReadUpTo(event.cancellationsReadUpToMicros());
        String zone = state.settings().zoneByNode().get(event.node());
        LeaseDelegation delegation =
                zone == null
                        ? null
                        : state.delegations()
                                .onPeerStatus(
                                        event.node(),
                                        event.status(),
                                        cancellationsAppliedMicros(zone),
                                        state.nowMicros());
        if (delegation != null) {
            state.emit(new SchedulerAction.DelegateLeases(event.node(), delegation));
        }
    }

    /** Up to this moment every cancellation has been applied in the zone. */
    private long cancellationsAppliedMicros(String zone) {
        long appliedMicros = state.cancellationsReadUpToMicros();
        for (Job job : state.jobs().values()) {
            if (job.isCancelled() && job.attemptCountInZone(zone) > 0) {
                appliedMicros = Math.min(appliedMicros, job.cancelledSinceMicros());
            }
        }
        return appliedMicros;
    }

    /** Emits writes of records, and then a deletion of machines. */
    public void emitWrites() {
        persister.emitWrites();
        deleter.emitDeletion();
    }

    /** Takes in the outcome of a record's write or deletion. */
    public void onWriteCompleted(SchedulerEvent.MachineWriteCompleted result) {
        persister.onWriteCompleted(result);
    }

    /** Takes in a record that was read after an unclear write. */
    public void onRecordRead(SchedulerEvent.MachineRecordRead result) {
        persister.onRecordRead(result);
    }

    /** The record could not be read; it is read again. */
    public void onReadFailed(String host) {
        persister.onReadFailed(host);
    }

    /** Takes in the cloud's answer to a deletion of machines. */
    public void onDeletionCompleted(SchedulerEvent.MachineDeletionCompleted result) {
        deleter.onDeletionCompleted(result);
    }

    /**
     * Forgets deleted machines once the list, which lags, can no longer show them, and names that
     * no agent has answered for.
     */
    public void forgetDeletedMachines() {
        long keepMicros =
                FORGET_LIST_LAGS * state.settings().machineListLagMicros() + FORGET_MARGIN_MICROS;
        state.forgetMachinesIf(machine -> isForgettable(machine, keepMicros));
    }

    private boolean isForgettable(Machine machine, long keepMicros) {
        if (!machine.isConfirmed()) {
            return state.nowMicros() - machine.firstSeenMicros > keepMicros;
        }
        return machine.isDeleted()
                && !machine.isRecorded()
                && !machine.isRecordRequestInFlight()
                && state.nowMicros() - machine.liveness.lastAliveMicros() > keepMicros;
    }
}
