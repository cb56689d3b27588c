package org.woadloom.core.machines;

import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.TaskAttempt;

/**
 * Stops the tasks of machines that are about to go. A machine that is decommissioned loses all of
 * its tasks; one that the cloud takes away loses those that can write a checkpoint first, while the
 * others use what time is left.
 */
public final class MachineDrainer {
    private final SchedulerState state;
    private final TaskLossHandler taskLosses;

    public MachineDrainer(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.taskLosses = taskLosses;
    }

    /** Stops what has to leave the machines that are about to go. */
    public void drainMachines() {
        for (Machine machine : state.machines().values()) {
            if (machine.spotTerminationMicros() >= 0 || machine.isDecommissioning()) {
                drain(machine);
            }
        }
    }

    private void drain(Machine machine) {
        for (TaskAttempt attempt : machine.snapshot()) {
            if (attempt.wasNeverSent()) {
                taskLosses.remove(attempt);
            } else if (!attempt.isStopping() && mustLeave(attempt)) {
                attempt.requestStop(attempt.job.description.checkpointCostSeconds());
            }
        }
    }

    private static boolean mustLeave(TaskAttempt attempt) {
        return attempt.machine.isDecommissioning()
                || attempt.job.description.checkpointIntervalSeconds() > 0;
    }
}
