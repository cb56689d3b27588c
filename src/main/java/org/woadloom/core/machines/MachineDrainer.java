package org.woadloom.core.machines;

import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.TaskAttempt;

/**
 * Stops tasks on machines that are about to be removed. On a decommissioned machine all tasks are
 * stopped. On a spot machine that the cloud is about to reclaim, only tasks that can write a
 * checkpoint are stopped; the others run for the remaining time.
 */
public final class MachineDrainer {
    private final SchedulerState state;
    private final TaskLossHandler taskLosses;

    public MachineDrainer(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.taskLosses = taskLosses;
    }

    /**
     * Drains all machines that are decommissioned or about to be reclaimed. Must be called
     * periodically.
     */
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
            } else if (!attempt.isStopping() && mustStop(attempt)) {
                attempt.requestStop(attempt.job.description.checkpointCostSeconds());
            }
        }
    }

    private static boolean mustStop(TaskAttempt attempt) {
        return attempt.machine.isDecommissioning()
                || attempt.job.description.checkpointIntervalSeconds() > 0;
    }
}
