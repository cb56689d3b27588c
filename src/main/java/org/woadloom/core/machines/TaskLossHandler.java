package org.woadloom.core.machines;

import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.jobs.TaskAttempt;

/** Removes placements that are proven to be gone. */
public final class TaskLossHandler {
    private final SchedulerState state;

    public TaskLossHandler(SchedulerState state) {
        this.state = state;
    }

    public void onLost(TaskAttempt attempt, String reason) {
        state.log(
                LogEntry.info(LogEvent.TASK_LOST)
                        .with("task", attempt.task())
                        .with("attempt", attempt.attempt)
                        .with("machine", attempt.machine.host)
                        .with("reason", reason));
        remove(attempt);
    }

    /** Removes a placement whose end needs no line of its own. */
    public void remove(TaskAttempt attempt) {
        attempt.job.remove(attempt);
        requestOutcomeWrite(attempt.job);
        if (attempt.machine.isEmpty()) {
            attempt.machine.idleSinceMicros = state.nowMicros();
        }
        state.requestPlacement();
    }

    /** A job that is over has one more thing to tell: that nothing of it is left. */
    private static void requestOutcomeWrite(Job job) {
        if (!job.isOver()) {
            job.persistence.requestWrite(PersistenceState.WriteReason.OUTCOME);
        } else if (job.attempts().isEmpty()) {
            job.persistence.requestWrite(PersistenceState.WriteReason.IMMEDIATE);
        }
    }

    /** Nothing is left on the machine and nothing more will come of what was sent there. */
    public void removeAll(Machine machine, String reason) {
        for (TaskAttempt attempt : machine.snapshot()) {
            onLost(attempt, reason);
        }
    }

    /** The worker's session is over; what was never sent can still be launched in the next one. */
    public void onSessionEnded(Machine machine, String reason) {
        for (TaskAttempt attempt : machine.snapshot()) {
            if (!attempt.wasNeverSent()) {
                onLost(attempt, reason);
            }
        }
    }
}
