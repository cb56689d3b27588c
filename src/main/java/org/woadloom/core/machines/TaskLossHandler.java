package org.woadloom.core.machines;

import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.jobs.TaskAttempt;

/** Removes placements that are proven to be gone. */
public final class TaskLossHandler {
    private final SchedulerState world;

    public TaskLossHandler(SchedulerState world) {
        this.world = world;
    }

    public void lost(TaskAttempt placement, String why) {
        world.log(
                LogEntry.info(LogEvent.TASK_LOST)
                        .with("task", placement.task())
                        .with("attempt", placement.attempt)
                        .with("machine", placement.machine.host)
                        .with("reason", why));
        gone(placement);
    }

    /** Removes a placement whose end needs no line of its own. */
    public void gone(TaskAttempt placement) {
        placement.job.remove(placement);
        recordOutcome(placement.job);
        if (placement.machine.empty()) {
            placement.machine.idleSinceMicros = world.nowMicros;
        }
        world.placementWorthTrying = true;
    }

    /** A job that is over has one more thing to tell: that nothing of it is left. */
    private static void recordOutcome(Job job) {
        if (!job.over()) {
            job.recording.needs(PersistenceState.WriteReason.OUTCOME);
        } else if (job.placements().isEmpty()) {
            job.recording.needs(PersistenceState.WriteReason.LAUNCH);
        }
    }

    /** Nothing is left on the machine and nothing more will come of what was sent there. */
    public void all(Machine machine, String why) {
        for (TaskAttempt placement : machine.snapshot()) {
            lost(placement, why);
        }
    }

    /** The worker's session is over; what was never sent can still be launched in the next one. */
    public void session(Machine machine, String why) {
        for (TaskAttempt placement : machine.snapshot()) {
            if (!placement.neverSent()) {
                lost(placement, why);
            }
        }
    }
}
