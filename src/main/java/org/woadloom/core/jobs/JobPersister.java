package org.woadloom.core.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.store.FinalRecord;

/**
 * Keeps the jobs' durable records up with what the core knows; one write of a job is under way at a
 * time.
 */
public final class JobPersister {
    private static final long PHASE_MICROS = 1_000_000;
    private static final long OUTCOME_MICROS = 250_000;
    private static final long RETRY_MICROS = 150_000;
    private static final long TOO_LARGE_MICROS = 1_000_000;

    /** How much sooner than by its turn a launch is written. */
    private static final long LAUNCH_AHEAD_MICROS = 2_000_000;

    /**
     * Ends and cancellations first, then what was written longest ago, launches with a start: no
     * completion starves.
     */
    private static final Comparator<Job> ORDER =
            Comparator.comparing((Job job) -> !job.over())
                    .thenComparingLong(
                            job ->
                                    job.recording.lastWriteMicros
                                            - (job.recording.need
                                                            == PersistenceState.WriteReason.LAUNCH
                                                    ? LAUNCH_AHEAD_MICROS
                                                    : 0));

    private final SchedulerState world;
    private final JobRegistry table;

    public JobPersister(SchedulerState world, JobRegistry table) {
        this.world = world;
        this.table = table;
    }

    public void emitWrites() {
        List<Job> due = new ArrayList<>();
        List<Job> gone = new ArrayList<>();
        world.unrecorded.removeIf(
                job ->
                        job.finished
                                || job.recording.need == PersistenceState.WriteReason.NONE
                                        && !job.recording.reading);
        for (Job job : world.unrecorded) {
            PersistenceState recording = job.recording;
            if (recording.gone()) {
                if (job.placements().isEmpty()) {
                    gone.add(job);
                }
                continue;
            }
            if (world.nowMicros < recording.retryMicros) {
                continue;
            }
            if (recording.reading) {
                if (!recording.readSent) {
                    recording.readSent = true;
                    recording.retryMicros = world.nowMicros + RETRY_MICROS;
                    world.emit(new SchedulerAction.ReadJob(job.jobId()));
                }
            } else if (recording.writing == 0 && due(job)) {
                due.add(job);
            }
        }
        gone.forEach(job -> table.finished(job, false));
        if (due.size() > 1) {
            due.sort(ORDER);
        }
        for (Job job : due) {
            if (job.over() ? world.writes.allowsEnd() : world.writes.allowsJob()) {
                write(job);
            }
        }
    }

    private void write(Job job) {
        PersistenceState recording = job.recording;
        if (job.over() && job.placements().isEmpty()) {
            world.writes.job(2);
            recording.finishing = true;
            long version = recording.begin(world.nowMicros, job.allDone());
            world.emit(
                    new SchedulerAction.WriteFinalState(
                            new FinalRecord(
                                    job.jobId(),
                                    job.cancelled,
                                    job.done.cardinality(),
                                    world.wallMicros,
                                    job.description.isService()),
                            recording.revision,
                            version));
        } else {
            world.writes.job(1);
            boolean urgent = recording.need == PersistenceState.WriteReason.LAUNCH;
            long version = recording.begin(world.nowMicros, job.allDone());
            world.emit(
                    new SchedulerAction.WriteJob(
                            job.toRecord(world.term, version), recording.revision, urgent));
        }
    }

    /**
     * Outcomes and phases are gathered for a while; whatever the budget does not allow yet is
     * written later, as one.
     */
    private boolean due(Job job) {
        long since = world.nowMicros - job.recording.lastWriteMicros;
        return switch (job.recording.need) {
            case NONE -> false;
            case PHASE -> since >= PHASE_MICROS;
            case OUTCOME -> since >= OUTCOME_MICROS;
            case LAUNCH -> true;
        };
    }

    public void written(SchedulerEvent.JobWriteCompleted result) {
        Job job = world.jobs.get(result.jobId());
        if (job == null) {
            return;
        }
        PersistenceState recording = job.recording;
        switch (result.outcome()) {
            case WRITTEN -> {
                boolean finishing = recording.finishing && recording.writing == result.version();
                recording.confirmed(result.version(), result.revision());
                job.release();
                table.doneDurably(job);
                if (finishing) {
                    world.log(
                            LogEntry.info(
                                            job.cancelled
                                                    ? LogEvent.JOB_CANCELLED
                                                    : LogEvent.JOB_DONE)
                                    .with("job", job.jobId()));
                    table.finished(job, true);
                }
            }
            case CONFLICT, UNKNOWN -> {
                if (recording.writing == result.version()) {
                    // Nothing may be concluded from a write without an answer: read before the next
                    // one.
                    recording.reading = true;
                    recording.readSent = false;
                    world.unrecorded.add(job);
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
     * The record as it is can't be stored. What was planned for it and never sent is taken back;
     * what else it should say waits until tasks have ended and it is shorter: the stored one names
     * at least as much as there is.
     */
    private void tooLarge(Job job) {
        job.recording.refused(world.nowMicros + TOO_LARGE_MICROS);
        int planned = 0;
        for (TaskAttempt placement : new ArrayList<>(job.placements())) {
            if (placement.stage == TaskAttempt.Stage.PLANNED) {
                job.remove(placement);
                planned++;
            }
        }
        job.notBeforeMicros = Math.max(job.notBeforeMicros, world.nowMicros + TOO_LARGE_MICROS);
        world.placementWorthTrying = true;
        world.log(
                LogEntry.info(LogEvent.JOB_RECORD_TOO_LARGE)
                        .with("job", job.jobId())
                        .with("waiting_tasks", planned));
    }

    /** A read that got no answer is sent again. */
    public void readFailed(String jobId) {
        Job job = world.jobs.get(jobId);
        if (job != null && job.recording.reading) {
            job.recording.readSent = false;
            job.recording.retryMicros = world.nowMicros + RETRY_MICROS;
        }
    }
}
