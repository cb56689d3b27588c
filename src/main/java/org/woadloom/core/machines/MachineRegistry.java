package org.woadloom.core.machines;

import java.util.ArrayList;
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

/** Machines as they are rented, found, recorded and deleted. */
public final class MachineRegistry {
    private static final long RETRY_MICROS = 300_000;
    private static final long DELETE_RETRY_MICROS = 2_000_000;

    /** Machines of one deletion: the cloud's bound. */
    private static final int MAX_MACHINES_PER_DELETION = 100;

    /**
     * The deletion of a machine with work on it is the proof that the work is gone, so it waits for
     * no other.
     */
    private static final int MAX_CONCURRENT_DELETIONS = 2;

    private final SchedulerState state;
    private final TaskLossHandler taskLosses;

    /**
     * Deletions that are under way: what is to go meanwhile goes with the next one, as the cloud
     * takes few calls.
     */
    private int deletionsInFlight;

    public MachineRegistry(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.taskLosses = taskLosses;
    }

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
     * A machine that a report names. One that is not known may have been deleted long ago, as
     * copies of reports come late: until it has answered, it is no more than a name, with no record
     * and no part in anything.
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

    public void onMachinesListed(List<ListedMachine> machines) {
        for (ListedMachine listed : machines) {
            Machine machine = state.machines().get(listed.host());
            if (machine == null || !machine.isConfirmed()) {
                machine =
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
            }
            // A new leader learns here for how long its machines have been paid for.
            machine.rentedMicros =
                    Math.min(machine.rentedMicros, state.nowMicros() - listed.rentedForMicros());
            if (listed.failed() && !machine.decommissioning) {
                // A failed machine stays listed until it is deleted, and the deletion's answer is
                // the proof we need.
                machine.decommission();
                machine.listedAsFailed = true;
                state.log(
                        LogEntry.info(LogEvent.MACHINE_FAILED)
                                .with("machine", machine.host)
                                .with("zone", machine.zone));
            }
            if (machine.address.isEmpty()) {
                machine.address = listed.address();
            }
        }
    }

    /** A node tells how it stands, and gets a warrant for the zone that it is in. */
    public void onPeerStatus(SchedulerEvent.PeerStatusReceived event) {
        state.advanceCancellationsReadUpTo(event.cancellationsReadUpToMicros());
        String zone = state.settings().nodes().get(event.node());
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

    /** Up to this moment every cancellation has been carried out in the zone. */
    private long cancellationsAppliedMicros(String zone) {
        long appliedMicros = state.cancellationsReadUpToMicros();
        for (Job job : state.jobs().values()) {
            if (job.isCancelled() && job.attemptsInZone(zone) > 0) {
                appliedMicros = Math.min(appliedMicros, job.cancelledSinceMicros());
            }
        }
        return appliedMicros;
    }

    public void emitWrites() {
        List<String> delete = new ArrayList<>();
        // A machine that is up can take tasks as soon as its record is there; the others have time.
        state.unmarkMachinesIf(
                machine ->
                        machine.deleted
                                ? !machine.recorded && !machine.writing && !machine.reading
                                : machine.recorded
                                        && !machine.reading
                                        && !machine.decommissioning
                                        && !machine.rewriteNeeded);
        for (Machine machine : state.machinesToPersist()) {
            if (machine.isKnownAlive()
                    && !machine.recorded
                    && !machine.deleted
                    && !machine.reading
                    && !machine.writing
                    && state.nowMicros() >= machine.retryAtMicros
                    && state.writeBudget().allowsMachine()) {
                writeRecord(machine);
            }
        }
        for (Machine machine : state.machinesToPersist()) {
            if (state.nowMicros() < machine.retryAtMicros || machine.writing) {
                continue;
            }
            if (machine.reading) {
                machine.writing = true;
                state.emit(new SchedulerAction.ReadMachine(machine.host));
            } else if (machine.deleted) {
                if (machine.recorded && state.writeBudget().allowsMachine()) {
                    state.writeBudget().takeMachine();
                    machine.writing = true;
                    state.emit(
                            new SchedulerAction.DeleteMachineRecord(
                                    machine.host, machine.revision));
                }
            } else if (!machine.recorded
                    || machine.decommissioning != machine.decommissioningRecorded
                    || machine.rewriteNeeded && !machine.deleting) {
                if (state.writeBudget().allowsMachine()) {
                    writeRecord(machine);
                }
            } else if (deletionsInFlight < (machine.abandoned ? MAX_CONCURRENT_DELETIONS : 1)
                    && machine.decommissioningRecorded
                    && !machine.deleting
                    && isDeletable(machine)
                    && delete.size() < MAX_MACHINES_PER_DELETION) {
                machine.deleting = true;
                delete.add(machine.host);
            }
        }
        if (!delete.isEmpty()) {
            deletionsInFlight++;
            state.log(
                    LogEntry.info(LogEvent.MACHINES_DELETING)
                            .with("machines", String.join(",", delete)));
            state.emit(new SchedulerAction.DeleteMachines(List.copyOf(delete)));
        }
    }

    private void writeRecord(Machine machine) {
        state.writeBudget().takeMachine();
        machine.writing = true;
        machine.writeStartedMicros = state.nowMicros();
        MachineRecord record = machine.toRecord();
        machine.reportedInWrite = record.lifecycle() != null && record.lifecycle().hasReported();
        machine.rewriteNeeded = false;
        state.emit(new SchedulerAction.WriteMachine(record, machine.revision));
    }

    /** A machine that still answers is emptied first; one that is lost is deleted to get proof. */
    private boolean isDeletable(Machine machine) {
        return machine.isEmpty()
                || machine.listedAsFailed
                || machine.abandoned
                || !machine.isUp()
                || state.nowMicros() - machine.liveness.lastAliveMicros()
                        > state.settings().leaseMicros() / 2;
    }

    public void onWriteCompleted(SchedulerEvent.MachineWriteCompleted result) {
        Machine machine = state.machines().get(result.host());
        if (machine == null) {
            return;
        }
        machine.writing = false;
        switch (result.outcome()) {
            case WRITTEN -> {
                machine.recorded = !result.deleted();
                machine.revision = result.deleted() ? 0 : result.revision();
                machine.decommissioningRecorded = result.decommissioning();
                machine.reportedRecorded = !result.deleted() && machine.reportedInWrite;
                state.requestPlacement();
            }
            case CONFLICT, UNKNOWN -> {
                machine.reading = true;
                machine.markForPersistence();
            }
            case NOT_WRITTEN, TOO_LARGE -> machine.retryAtMicros = state.nowMicros() + RETRY_MICROS;
        }
    }

    public void onRecordRead(SchedulerEvent.MachineRecordRead result) {
        Machine machine = state.machines().get(result.host());
        if (machine == null) {
            return;
        }
        machine.writing = false;
        machine.reading = false;
        // Recorded or not, the present state is written again on the stamp just read: that voids a
        // late write.
        machine.recorded = machine.deleted && result.record() != null;
        machine.revision = result.record() == null ? 0 : result.revision();
        machine.decommissioningRecorded =
                result.record() != null && result.record().decommissioning();
        machine.markForPersistence();
    }

    public void onReadFailed(String host) {
        Machine machine = state.machines().get(host);
        if (machine != null) {
            machine.writing = false;
            machine.retryAtMicros = state.nowMicros() + RETRY_MICROS;
        }
    }

    public void onDeletionCompleted(SchedulerEvent.MachineDeletionCompleted result) {
        deletionsInFlight--;
        for (String host : result.hosts()) {
            Machine machine = state.machines().get(host);
            if (machine == null) {
                continue;
            }
            machine.deleting = false;
            if (result.succeeded()) {
                machine.deleted = true;
                machine.markForPersistence();
                taskLosses.removeAll(machine, "machine deleted");
                machine.liveness.onMachineDeleted(state.nowMicros());
            } else {
                machine.retryAtMicros = state.nowMicros() + DELETE_RETRY_MICROS;
            }
        }
    }

    /** Forgets deleted machines once the list, which lags, can no longer show them. */
    public void forget() {
        long keep = 4 * state.settings().listLagMicros() + 60_000_000;
        state.forgetMachinesIf(
                machine ->
                        machine.isConfirmed()
                                ? machine.deleted
                                        && !machine.recorded
                                        && !machine.writing
                                        && state.nowMicros() - machine.liveness.lastAliveMicros()
                                                > keep
                                : state.nowMicros() - machine.firstSeenMicros > keep);
    }
}
