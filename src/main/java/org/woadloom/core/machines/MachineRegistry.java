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
 * Adds machines that are loaded, rented, listed by the cloud or named in a heartbeat to the
 * scheduler's state, and forgets them after their deletion. {@link MachinePersister} keeps their
 * records, and {@link MachineDeleter} has them deleted.
 */
public final class MachineRegistry {
    /**
     * A deleted machine is remembered for this many times the lag of the cloud's list, plus {@link
     * #FORGET_MARGIN_MICROS}.
     */
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

    /** Adds a machine from the store when this node becomes the leader. */
    public void load(SchedulerEvent.StoredMachine stored) {
        Machine machine = create(stored.record());
        machine.confirmExistence();
        machine.onRecorded(stored.revision());
    }

    /** Returns the machine that was rented or listed by the cloud, and adds it if it is unknown. */
    public Machine adopt(MachineRecord record) {
        Machine machine = findOrCreate(record);
        machine.confirmExistence();
        return machine;
    }

    /**
     * Returns the machine that a heartbeat names, and adds it if it is unknown. An unknown one may
     * have been deleted long ago, as duplicates of heartbeats can arrive late. Until its agent is
     * proven alive it is unconfirmed: it has no record and gets no tasks.
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

    /** Updates the machine types that the cloud rents out, with their prices. */
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

    /**
     * Applies the cloud's list: adds unknown machines, and updates failures, rental times and
     * addresses.
     */
    public void onMachinesListed(List<ListedMachine> machines) {
        for (ListedMachine listed : machines) {
            Machine machine = state.machines().get(listed.host());
            if (machine == null || !machine.isConfirmed()) {
                machine = discover(listed);
            }
            // This is how a new leader learns for how long its machines have been charged.
            machine.onListedAsRented(state.nowMicros() - listed.rentedForMicros());
            if (listed.hasFailed() && !machine.isDecommissioning()) {
                // A failed machine stays listed until it is deleted, and only the answer to the
                // deletion proves that its tasks are gone.
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

    /** Handles the status of another node, which may get a lease delegation for its zone. */
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

    /** Returns the time up to which all cancellations have been applied in the zone. */
    private long cancellationsAppliedMicros(String zone) {
        long appliedMicros = state.cancellationsReadUpToMicros();
        for (Job job : state.jobs().values()) {
            if (job.isCancelled() && job.attemptCountInZone(zone) > 0) {
                appliedMicros = Math.min(appliedMicros, job.cancelledSinceMicros());
            }
        }
        return appliedMicros;
    }

    /** Emits the writes of records that are due, and then a deletion of machines. */
    public void emitWrites() {
        persister.emitWrites();
        deleter.emitDeletion();
    }

    /** Handles the outcome of a write or deletion of a record. */
    public void onWriteCompleted(SchedulerEvent.MachineWriteCompleted result) {
        persister.onWriteCompleted(result);
    }

    /** Handles a record that was read after a write with unknown outcome. */
    public void onRecordRead(SchedulerEvent.MachineRecordRead result) {
        persister.onRecordRead(result);
    }

    /** Handles a failed read of a record; it is read again later. */
    public void onReadFailed(String host) {
        persister.onReadFailed(host);
    }

    /** Handles the cloud's answer to a deletion of machines. */
    public void onDeletionCompleted(SchedulerEvent.MachineDeletionCompleted result) {
        deleter.onDeletionCompleted(result);
    }

    /**
     * Forgets deleted machines once the cloud's lagging list can no longer contain them. After the
     * same time, forgets unconfirmed machines: those that only heartbeats have named and whose
     * agents have not been proven alive.
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
