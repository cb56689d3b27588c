package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.List;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;

/**
 * Requests deletions of decommissioned machines from the cloud, once their decommissioning is
 * recorded and they are empty or lost.
 */
final class MachineDeleter {
    private static final long RETRY_MICROS = 2_000_000;

    /** The cloud's limit for one deletion request. */
    private static final int MAX_MACHINES_PER_DELETION = 100;

    /** The cloud allows few calls, so machines that become deletable meanwhile are batched. */
    private static final int MAX_CONCURRENT_DELETIONS = 1;

    /**
     * Abandoned machines may use one more request than others: their deletion is the proof that
     * their tasks are gone, so it does not wait for other deletions.
     */
    private static final int MAX_CONCURRENT_DELETIONS_OF_ABANDONED = 2;

    private final SchedulerState state;
    private final TaskLossHandler taskLosses;
    private int deletionsInFlight;

    MachineDeleter(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.taskLosses = taskLosses;
    }

    /**
     * Emits one deletion request if any is due. Must be called after the writes of records are
     * emitted, as those come first.
     */
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

    /**
     * True if the decommissioning is recorded, and no request for the record is in flight or due.
     */
    private boolean isDue(Machine machine) {
        MachineRecordState record = machine.recordState;
        return record.isRequestDue(state.nowMicros())
                && !record.isReadNeeded()
                && !machine.isDeleted()
                && !MachinePersister.needsWrite(machine)
                && record.isDecommissioningRecorded()
                && !machine.lifecycle.isDeleting();
    }

    /**
     * A machine that is in contact is drained first. A lost one is deleted with its tasks, as the
     * deletion proves that they are gone.
     */
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
