package org.woadloom.core.machines;

import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.World;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.Placement;
import org.woadloom.core.jobs.Recording;

/** Removes placements that are proven to be gone. */
public final class Losses {
    private final World world;

    public Losses(World world) {
        this.world = world;
    }

    public void lost(Placement placement, String why) {
        world.log(
                LogEntry.info(LogEvent.TASK_LOST)
                        .with("task", placement.task())
                        .with("attempt", placement.attempt)
                        .with("machine", placement.machine.host)
                        .with("reason", why));
        gone(placement);
    }

    /** Removes a placement whose end needs no line of its own. */
    public void gone(Placement placement) {
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
            job.recording.needs(Recording.Need.OUTCOME);
        } else if (job.placements().isEmpty()) {
            job.recording.needs(Recording.Need.LAUNCH);
        }
    }

    /** Nothing is left on the machine and nothing more will come of what was sent there. */
    public void all(Machine machine, String why) {
        for (Placement placement : machine.snapshot()) {
            lost(placement, why);
        }
    }

    /** The worker's session is over; what was never sent can still be launched in the next one. */
    public void session(Machine machine, String why) {
        for (Placement placement : machine.snapshot()) {
            if (!placement.neverSent()) {
                lost(placement, why);
            }
        }
    }
}
