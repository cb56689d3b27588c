package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.List;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;

/** Has decommissioned machines deleted by the cloud, once that is recorded and they are empty. */
final class MachineDeleter {
    private static final long RETRY_MICROS = 2_000_000;

    /** The cloud's bound for one deletion. */
    private static final int MAX_MACHINES_PER_DELETION = 100;

    /** The cloud takes few calls, so what is to be deleted meanwhile goes with the next one. */
    private static final int MAX_CONCURRENT_DELETIONS = 1;

    /** The deletion of a machine with tasks is the proof that they are gone, so it may overtake. */
    private static final int MAX_CONCURRENT_DELETIONS_OF_ABANDONED = 2;

    private final SchedulerState state;
    private final TaskLossHandler taskLosses;
    private int deletionsInFlight;

    MachineDeleter(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.taskLosses = taskLosses;
    }

    /** To be called after the records' writes are emitted: they go before. */
    void emitDeletion() {
        List<String> hosts = new ArrayList<>();
        for (Machine machine : state.machinesToPersist()) {
            if (hosts.size() >= MAX_MACHINES_PER_DELETION) {
                break;
            }
            if (allowsDeletionOf(machine) && isDue(machine) && isDeletable(machine)) {
                machine.lifecycle.startDeletion();
                hosts.add(machine.host);
            }
        }
        if (!hosts.isEmpty()) {
            deletionsInFlight++;
            state.log(
                    LogEntry.info(LogEvent.MACHINES_DELETING)
                            .with("machines", String.join(",", hosts)));
            state.emit(new SchedulerAction.DeleteMachines(List.copyOf(hosts)));
        }
    }

    private boolean allowsDeletionOf(Machine machine) {
        return deletionsInFlight
                < (machine.lifecycle.isAbandoned()
                        ? MAX_CONCURRENT_DELETIONS_OF_ABANDONED
                        : MAX_CONCURRENT_DELETIONS);
    }

    /** True if the decommissioning is recorded, and nothing of the record is under way or due. */
    private boolean isDue(Machine machine) {
        MachineRecordState record = machine.recordState;
        return record.isRequestDue(state.nowMicros())
                && !record.isReadNeeded()
                && !machine.isDeleted()
                && !MachinePersister.needsWrite(machine)
                && record.isDecommissioningRecorded()
                && !machine.lifecycle.isDeleting();
    }

    /** A machine that still answers is emptied first; one that is lost is deleted to get proof. */
    private boolean isDeletable(Machine machine) {
        return machine.isEmpty()
                || machine.lifecycle.isDeletedWithTasks()
                || !machine.isUp()
                || state.nowMicros() - machine.liveness.lastAliveMicros()
                        > state.settings().leaseDurationMicros() / 2;
    }

    void onDeletionCompleted(SchedulerEvent.MachineDeletionCompleted result) {
        deletionsInFlight--;
        for (String host : result.hosts()) {
            Machine machine = state.machines().get(host);
            if (machine == null) {
                continue;
            }
            if (result.succeeded()) {
                machine.lifecycle.onDeleted();
                machine.markForPersistence();
                taskLosses.removeAll(machine, "machine deleted");
                machine.liveness.onMachineDeleted(state.nowMicros());
            } else {
                machine.lifecycle.onDeletionFailed();
                machine.recordState.retryAt(state.nowMicros() + RETRY_MICROS);
            }
        }
    }
}
