package org.woadloom.core.machines;

import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.jobs.TaskAttempt;

/** Removes attempts that will not run any more, and updates quota, records and idle times. */
public final class TaskLossHandler {
    private final SchedulerState state;

    public TaskLossHandler(SchedulerState state) {
        this.state = state;
    }

    /** Removes an attempt that ended without an exit, and logs why. */
    public void onLost(TaskAttempt attempt, String reason) {
        state.log(
                LogEntry.info(LogEvent.TASK_LOST)
                        .with("task", attempt.taskId())
                        .with("attempt", attempt.attemptNumber)
                        .with("machine", attempt.machine.host)
                        .with("reason", reason));
        remove(attempt);
    }

    /**
     * Removes an attempt that did not fail, without a log entry. Unless its task is completed, its
     * share of the team's limit is held for its job.
     */
    public void remove(TaskAttempt attempt) {
        removeFailed(attempt);
        Job job = attempt.job;
        if (!job.isTerminal() && !job.isCompleted(attempt.taskIndex)) {
            job.teamQuota.onTaskLost(job, state.nowMicros());
        }
    }

    /** Removes an attempt whose task failed. Its share of the team's limit becomes free at once. */
    void removeFailed(TaskAttempt attempt) {
        attempt.job.removeAttempt(attempt);
        requestOutcomeWrite(attempt.job);
        if (attempt.machine.isEmpty()) {
            attempt.machine.restartIdleTime();
        }
        state.requestPlacement();
    }

    /** Once a job is over, only the end of its last attempt still has to be recorded. */
    private static void requestOutcomeWrite(Job job) {
        if (!job.isTerminal()) {
            job.persistence.requestWrite(PersistenceState.WriteUrgency.TASK_ENDED);
        } else if (job.attempts().isEmpty()) {
            job.persistence.requestWrite(PersistenceState.WriteUrgency.IMMEDIATE);
        }
    }

    /** Removes all attempts of a machine on which none is running or can still be started. */
    public void removeAll(Machine machine, String reason) {
        for (TaskAttempt attempt : machine.snapshot()) {
            onLost(attempt, reason);
        }
    }

    /**
     * Removes the attempts that were sent to an agent whose lease has expired. Attempts that were
     * never sent are kept, as the agent's next incarnation can start them.
     */
    public void onSessionEnded(Machine machine, String reason) {
        for (TaskAttempt attempt : machine.snapshot()) {
            if (!attempt.wasNeverSent()) {
                onLost(attempt, reason);
            }
        }
    }
}
