package org.woadloom.core.jobs;

import java.util.ArrayList;
import org.woadloom.core.Command;
import org.woadloom.core.Effect;
import org.woadloom.core.World;
import org.woadloom.state.FinalRecord;

/** Keeps the jobs' durable records up with what the core knows; one write of a job is under way at a time. */
public final class Recorder {
    private static final long PHASE_MICROS = 1_000_000;
    private static final long OUTCOME_MICROS = 250_000;
    private static final long RETRY_MICROS = 150_000;
    private static final long TOO_LARGE_MICROS = 1_000_000;

    /** The parts of the state service's limit on changes that launches and outcomes may use before they are gathered. */
    private static final double LAUNCH_SHARE = 0.35;
    private static final double OUTCOME_SHARE = 0.25;
    /** While less than this part of the limit was used in the last second, nothing waits for others. */
    private static final double UNHURRIED_SHARE = 0.3;

    private final World world;
    private final JobTable table;
    /** How many jobs had something of each kind to write when last looked at. */
    private int launching;
    /** Writes of about the last second. */
    private double recent;
    private long lastMicros;
    private int changing;

    public Recorder(World world, JobTable table) {
        this.world = world;
        this.table = table;
    }

    public void emitWrites() {
        int launchesNow = 0;
        int changesNow = 0;
        int written = 0;
        for (Job job : world.jobs.values()) {
            Recording recording = job.recording;
            if (recording.need == Recording.Need.LAUNCH) {
                launchesNow++;
            } else if (recording.need != Recording.Need.NONE) {
                changesNow++;
            }
            if (recording.need == Recording.Need.NONE && !recording.reading || world.nowMicros < recording.retryMicros) {
                continue;
            }
            if (recording.reading) {
                if (!recording.readSent) {
                    recording.readSent = true;
                    recording.retryMicros = world.nowMicros + RETRY_MICROS;
                    world.emit(new Effect.ReadJob(job.uid()));
                }
                continue;
            }
            if (recording.writing != 0 || !due(job)) {
                continue;
            }
            written++;
            if (job.over() && job.placements().isEmpty()) {
                recording.finishing = true;
                long version = recording.begin(world.nowMicros, job.allDone());
                world.emit(new Effect.FinishJob(
                        new FinalRecord(job.uid(), job.cancelled, job.done.cardinality(), world.wallMicros,
                                job.description.service()), recording.stamp, version));
            } else {
                boolean urgent = recording.need == Recording.Need.LAUNCH;
                long version = recording.begin(world.nowMicros, job.allDone());
                world.emit(new Effect.PutJob(job.toRecord(world.term, version), recording.stamp, urgent));
            }
        }
        recent = recent * Math.exp((lastMicros - world.nowMicros) / 1e6) + written;
        lastMicros = world.nowMicros;
        launching = launchesNow;
        changing = changesNow;
    }

    /**
     * A job's first write goes at once. Where many jobs have something to write, each writes less often and more at a
     * time: the whole of a record is written for whatever changed in it.
     */
    private boolean due(Job job) {
        Recording recording = job.recording;
        long since = world.nowMicros - recording.lastWriteMicros;
        return switch (recording.need) {
            case NONE -> false;
            case PHASE -> since >= Math.max(PHASE_MICROS, spacing(changing, OUTCOME_SHARE));
            case OUTCOME -> since >= Math.max(OUTCOME_MICROS, spacing(changing, OUTCOME_SHARE));
            case LAUNCH -> job.over() || since >= spacing(launching, LAUNCH_SHARE);
        };
    }

    private long spacing(int jobs, double share) {
        if (recent < world.settings.writesPerSecond() * UNHURRIED_SHARE) {
            return 0;
        }
        return (long) (jobs * 1e6 / (world.settings.writesPerSecond() * share));
    }

    public void written(Command.JobWritten result) {
        Job job = world.jobs.get(result.uid());
        if (job == null) {
            return;
        }
        Recording recording = job.recording;
        switch (result.outcome()) {
            case WRITTEN -> {
                boolean finishing = recording.finishing && recording.writing == result.version();
                recording.confirmed(result.version(), result.stamp());
                job.release();
                table.doneDurably(job);
                if (finishing) {
                    world.note("job " + job.uid() + (job.cancelled ? " cancelled and gone" : " done"));
                    table.finished(job, true);
                }
            }
            case CONFLICT, UNKNOWN -> {
                if (recording.writing == result.version()) {
                    // Nothing may be concluded from a write without an answer: read before the next one.
                    recording.reading = true;
                    recording.readSent = false;
                }
            }
            case TOO_LARGE -> {
                if (recording.writing == result.version()) {
                    tooLarge(job);
                }
            }
            case NOT_WRITTEN -> {
                if (recording.writing == result.version()) {
                    recording.refused(world.nowMicros + RETRY_MICROS);
                }
            }
        }
    }

    /**
     * The record as it is can't be stored. What was planned for it and never sent is taken back; what else it should say
     * waits until tasks have ended and it is shorter: the stored one names at least as much as there is.
     */
    private void tooLarge(Job job) {
        job.recording.refused(world.nowMicros + TOO_LARGE_MICROS);
        int planned = 0;
        for (Placement placement : new ArrayList<>(job.placements())) {
            if (placement.stage == Placement.Stage.PLANNED) {
                job.remove(placement);
                planned++;
            }
        }
        job.notBeforeMicros = Math.max(job.notBeforeMicros, world.nowMicros + TOO_LARGE_MICROS);
        world.placementWorthTrying = true;
        world.note("the record of job " + job.uid() + " is too large for the state service: " + planned
                + " tasks wait for others to end");
    }

    /** A read that got no answer is sent again. */
    public void readFailed(String uid) {
        Job job = world.jobs.get(uid);
        if (job != null && job.recording.reading) {
            job.recording.readSent = false;
            job.recording.retryMicros = world.nowMicros + RETRY_MICROS;
        }
    }
}
