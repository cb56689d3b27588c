package org.woadloom.core.jobs;

import java.util.ArrayList;
import java.util.List;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.quota.TeamQuota;
import org.woadloom.protocol.JobDescription;
import org.woadloom.store.JobRecord;

/** Jobs as they are accepted, cancelled and read back. */
public final class JobRegistry {
    private final SchedulerState world;

    public JobRegistry(SchedulerState world) {
        this.world = world;
    }

    /** Takes over a job from its record: what the record names may be there. */
    public void load(SchedulerEvent.StoredJob stored) {
        JobRecord record = stored.record();
        Job job = create(record, stored.revision());
        if (job == null) {
            return;
        }
        for (JobRecord.RecordedAttempt placed : record.attempts()) {
            Machine machine = world.machines.get(placed.host());
            if (machine == null) {
                // A machine's record is dropped only after its deletion was answered, so nothing is
                // left there.
                job.recording.needs(PersistenceState.WriteReason.OUTCOME);
                continue;
            }
            for (int i = placed.tasks().nextSetBit(0);
                    i >= 0;
                    i = placed.tasks().nextSetBit(i + 1)) {
                TaskAttempt placement =
                        new TaskAttempt(job, i, machine, placed.attempt(), 0, world.nowMicros);
                placement.stage = TaskAttempt.Stage.INHERITED;
                job.add(placement);
                if (job.over() || job.done.get(i)) {
                    placement.halt(0);
                }
            }
        }
        if (job.over() && job.placements().isEmpty()) {
            job.recording.needs(PersistenceState.WriteReason.LAUNCH);
        }
    }

    /** A record that came from another node, from the watch or from a read. */
    public void seen(JobRecord record, long revision) {
        Job job = world.jobs.get(record.description().jobId());
        if (job == null) {
            if (record.term() < world.term && record.attempts().isEmpty()) {
                Job created = create(record, revision);
                if (created != null) {
                    if (created.over()) {
                        created.recording.needs(PersistenceState.WriteReason.LAUNCH);
                    }
                    logAccepted(record.description());
                }
                world.placementWorthTrying = true;
            }
            return;
        }
        PersistenceState recording = job.recording;
        boolean answersRead = recording.reading && recording.readSent;
        if (revision < recording.revision) {
            return;
        }
        if (record.term() == world.term && record.version() > recording.durable) {
            // One of this term's own writes: it is durable, whatever became of the answer.
            recording.durable = record.version();
            job.release();
            doneDurably(job);
        }
        recording.revision = revision;
        if (record.cancelled() && !job.cancelled) {
            cancel(job);
        }
        if (answersRead) {
            // The record may lack what the lost write held; the next write carries everything.
            recording.readAgain();
        }
    }

    /**
     * A record that can't be read is damaged: what this leader knows of the job is written in its
     * place.
     */
    public void unread(SchedulerEvent.JobRecordDamaged unread) {
        Job job = world.jobs.get(unread.jobId());
        if (job == null || unread.revision() < job.recording.revision) {
            return;
        }
        world.log(LogEntry.info(LogEvent.JOB_RECORD_DAMAGED).with("job", job.jobId()));
        job.recording.revision = unread.revision();
        if (unread.cancelled() && !job.cancelled) {
            cancel(job);
        }
        if (job.recording.reading && job.recording.readSent) {
            job.recording.readAgain();
        } else {
            job.recording.needs(PersistenceState.WriteReason.LAUNCH);
        }
    }

    /**
     * Users may hear that these are cancelled; the records, on whose stamps all else depends, are
     * read when they can be.
     */
    public void told(List<String> jobIds) {
        for (String jobId : jobIds) {
            Job job = world.jobs.get(jobId);
            if (job != null && !job.cancelled) {
                cancel(job);
            }
        }
    }

    /**
     * The record is gone: by a final write of ours without an answer, most likely, or it was
     * damaged and a cancellation's final state took its place. What waits for the job must not
     * start on a guess, and what may be on machines counts until it is not.
     */
    public void missing(String jobId) {
        Job job = world.jobs.get(jobId);
        if (job == null || !job.recording.reading || !job.recording.readSent) {
            return;
        }
        world.served.look(job);
        halt(job);
        if (job.placements().isEmpty()) {
            finished(job, false);
        } else {
            world.log(
                    LogEntry.info(LogEvent.JOB_ENDED_ELSEWHERE)
                            .with("job", jobId)
                            .with("tasks", job.placements().size()));
            job.cancelled = true;
            job.recording.replaced();
            world.placementWorthTrying = true;
        }
    }

    /**
     * The job's final state is in the store. A late hint can bring back a job that is over; what
     * was planned for it then was never launched, as its record can't be written, and must not go
     * on counting.
     *
     * @param known false if only the store knows whether it was done or cancelled
     */
    public void finished(Job job, boolean known) {
        for (TaskAttempt placement : new ArrayList<>(job.placements())) {
            job.remove(placement);
        }
        job.finished = true;
        world.jobs.remove(job.jobId());
        world.served.over(job);
        world.pipelines.gone(job, known);
        world.placementWorthTrying = true;
    }

    private void logAccepted(JobDescription job) {
        world.log(
                LogEntry.info(LogEvent.JOB_ACCEPTED)
                        .with("job", job.jobId())
                        .with("team", job.team())
                        .with("tasks", job.taskCount())
                        .with("class", job.jobClass())
                        .with("cpus", job.cpus())
                        .with("estimate_s", job.estimatedRuntimeSeconds()));
    }

    private Job create(JobRecord record, long revision) {
        TeamQuota team = world.teams.get(record.description().team());
        if (team == null) {
            world.log(
                    LogEntry.info(LogEvent.JOB_TEAM_UNKNOWN)
                            .with("job", record.description().jobId())
                            .with("team", record.description().team()));
            return null;
        }
        long age = Math.max(0, world.wallMicros - record.submittedWallMicros());
        Job job = new Job(record, revision, team, world.nowMicros - age, world.unrecorded);
        world.jobs.put(job.jobId(), job);
        world.served.come(job);
        world.jobsCome++;
        if (record.isComplete()) {
            job.recording.readAsDone();
        }
        if (!job.waiting()) {
            world.arrivals.add(job, world.nowMicros);
        }
        world.pipelines.add(job);
        return job;
    }

    /** To be called when a write was acknowledged: what waits for a job that is done may go on. */
    void doneDurably(Job job) {
        if (job.recording.doneDurably()) {
            world.pipelines.done(job.jobId(), world.wallMicros);
        }
    }

    private void cancel(Job job) {
        world.served.look(job);
        job.cancelled = true;
        job.cancelledSinceMicros = world.cancellationsSeenMicros;
        world.log(LogEntry.info(LogEvent.JOB_CANCEL_REQUESTED).with("job", job.jobId()));
        world.pipelines.cancelled(job.jobId());
        halt(job);
        if (job.placements().isEmpty()) {
            job.recording.needs(PersistenceState.WriteReason.LAUNCH);
        }
        world.placementWorthTrying = true;
    }

    /** Stops everything of a job that is over. What was never sent is gone at once. */
    public void halt(Job job) {
        for (TaskAttempt placement : new ArrayList<>(job.placements())) {
            if (placement.neverSent()) {
                job.remove(placement);
            } else {
                placement.halt(0);
            }
        }
    }
}
