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

/** The jobs that the scheduler has: accepted, cancelled, read back and removed. */
public final class JobRegistry {
    /** Seconds: the task is of no use any more, so it need not save a checkpoint. */
    private static final double NO_GRACE_PERIOD = 0;

    private final SchedulerState state;

    public JobRegistry(SchedulerState state) {
        this.state = state;
    }

    /** Takes over a job from an earlier leader's record: the attempts it names may be running. */
    public void load(SchedulerEvent.StoredJob stored) {
        JobRecord record = stored.record();
        Job job = create(record, stored.revision());
        if (job == null) {
            return;
        }
        for (JobRecord.RecordedAttempt placed : record.attempts()) {
            Machine machine = state.machines().get(placed.host());
            if (machine == null) {
                // A machine's record is dropped only after its deletion was answered, so nothing is
                // left there.
                job.persistence.requestWrite(PersistenceState.WriteUrgency.TASK_ENDED);
                continue;
            }
            for (int i = placed.tasks().nextSetBit(0);
                    i >= 0;
                    i = placed.tasks().nextSetBit(i + 1)) {
                TaskAttempt attempt =
                        new TaskAttempt(job, i, machine, placed.attempt(), 0, state.nowMicros());
                attempt.onRecovered();
                job.addAttempt(attempt);
                if (job.isTerminal() || job.isCompleted(i)) {
                    attempt.requestStop(NO_GRACE_PERIOD);
                }
            }
        }
        if (job.isTerminal() && job.attempts().isEmpty()) {
            job.persistence.requestWrite(PersistenceState.WriteUrgency.IMMEDIATE);
        }
    }

    /** A record that came from another node, from the watch or from a read. */
    public void onRecordChanged(JobRecord record, long revision) {
        Job job = state.jobs().get(record.description().jobId());
        if (job == null) {
            // One of this term, or with attempts, is a late copy of a job that is over.
            if (record.term() < state.term() && record.attempts().isEmpty()) {
                accept(record, revision);
            }
            return;
        }
        updateFrom(record, revision, job);
    }

    private void accept(JobRecord record, long revision) {
        Job job = create(record, revision);
        if (job != null) {
            if (job.isTerminal()) {
                job.persistence.requestWrite(PersistenceState.WriteUrgency.IMMEDIATE);
            }
            logAccepted(record.description());
        }
        state.requestPlacement();
    }

    private void updateFrom(JobRecord record, long revision, Job job) {
        PersistenceState persistence = job.persistence;
        boolean answersRead = persistence.isReading();
        if (revision < persistence.revision()) {
            return;
        }
        if (record.term() == state.term()
                && record.writeSequence() > persistence.durableVersion()) {
            // One of this term's own writes: it is durable, whatever became of the answer.
            persistence.onVersionRead(record.writeSequence());
            job.releaseDurableAttempts();
            onWriteAcknowledged(job);
        }
        persistence.onRevisionRead(revision);
        if (record.cancelled() && !job.isCancelled()) {
            cancel(job);
        }
        if (answersRead) {
            // The record may lack what the lost write held; the next write carries everything.
            persistence.onRecordRead();
        }
    }

    /**
     * A record that can't be read is damaged: what this leader knows of the job is written in its
     * place.
     */
    public void onDamagedRecord(SchedulerEvent.JobRecordDamaged event) {
        Job job = state.jobs().get(event.jobId());
        if (job == null || event.revision() < job.persistence.revision()) {
            return;
        }
        state.log(LogEntry.info(LogEvent.JOB_RECORD_DAMAGED).with("job", job.jobId()));
        job.persistence.onRevisionRead(event.revision());
        if (event.knownCancelled() && !job.isCancelled()) {
            cancel(job);
        }
        if (job.persistence.isReading()) {
            job.persistence.onRecordRead();
        } else {
            job.persistence.requestWrite(PersistenceState.WriteUrgency.IMMEDIATE);
        }
    }

    /**
     * Users may be told that these are cancelled. Their records, on whose revisions all writes
     * depend, are read when they can be.
     */
    public void onCancellationsConfirmed(List<String> jobIds) {
        for (String jobId : jobIds) {
            Job job = state.jobs().get(jobId);
            if (job != null && !job.isCancelled()) {
                cancel(job);
            }
        }
    }

    /**
     * The record no longer exists: most likely by a final write of this leader without an answer,
     * or it was damaged and a cancellation's final state took its place. What depends on the job
     * must not start on a guess, and attempts count until they are proven gone.
     */
    public void onRecordNotFound(String jobId) {
        Job job = state.jobs().get(jobId);
        if (job == null || !job.persistence.isReading()) {
            return;
        }
        state.serviceLevels().recordIfFullyStarted(job);
        stopAllAttempts(job);
        if (job.attempts().isEmpty()) {
            remove(job, false);
        } else {
            state.log(
                    LogEntry.info(LogEvent.JOB_ENDED_ELSEWHERE)
                            .with("job", jobId)
                            .with("tasks", job.attempts().size()));
            job.markCancelled();
            job.persistence.onReplaced();
            state.requestPlacement();
        }
    }

    /**
     * The job's final state is in the store. A late notification can bring back a job that is over;
     * what was planned for it then was never started, as its record can't be written, and must not
     * go on counting.
     *
     * @param outcomeKnown false if only the store knows whether it was done or cancelled
     */
    public void remove(Job job, boolean outcomeKnown) {
        for (TaskAttempt attempt : new ArrayList<>(job.attempts())) {
            job.removeAttempt(attempt);
        }
        job.markFinished();
        state.removeJob(job);
        state.serviceLevels().onJobEnded(job);
        state.dependencies().onJobRemoved(job, outcomeKnown);
        state.requestPlacement();
    }

    private void logAccepted(JobDescription job) {
        state.log(
                LogEntry.info(LogEvent.JOB_ACCEPTED)
                        .with("job", job.jobId())
                        .with("team", job.team())
                        .with("tasks", job.taskCount())
                        .with("class", job.jobClass())
                        .with("cpus", job.cpus())
                        .with("estimate_s", job.estimatedRuntimeSeconds()));
    }

    private Job create(JobRecord record, long revision) {
        TeamQuota team = state.teams().get(record.description().team());
        if (team == null) {
            state.log(
                    LogEntry.info(LogEvent.JOB_TEAM_UNKNOWN)
                            .with("job", record.description().jobId())
                            .with("team", record.description().team()));
            return null;
        }
        long age = Math.max(0, state.wallMicros() - record.submittedWallMicros());
        Job job =
                new Job(record, revision, team, state.nowMicros() - age, state::markForPersistence);
        state.addJob(job);
        state.serviceLevels().onJobAdded(job);
        state.countJobArrival();
        if (record.isComplete()) {
            job.persistence.onReadAsComplete();
        }
        if (!job.isBlocked()) {
            state.demandEstimator().add(job, state.nowMicros());
        }
        state.dependencies().onJobAdded(job);
        return job;
    }

    /** A write was acknowledged: what depends on a job that is done may be unblocked. */
    void onWriteAcknowledged(Job job) {
        if (job.persistence.isCompletionDurable()) {
            state.dependencies().onDone(job.jobId(), state.wallMicros());
        }
    }

    private void cancel(Job job) {
        state.serviceLevels().recordIfFullyStarted(job);
        job.markCancelledSince(state.cancellationsReadUpToMicros());
        state.log(LogEntry.info(LogEvent.JOB_CANCEL_REQUESTED).with("job", job.jobId()));
        state.dependencies().onCancelled(job.jobId());
        stopAllAttempts(job);
        if (job.attempts().isEmpty()) {
            job.persistence.requestWrite(PersistenceState.WriteUrgency.IMMEDIATE);
        }
        state.requestPlacement();
    }

    /** Stops all attempts of a job that is over; what was never sent is removed at once. */
    public void stopAllAttempts(Job job) {
        for (TaskAttempt attempt : new ArrayList<>(job.attempts())) {
            if (attempt.wasNeverSent()) {
                job.removeAttempt(attempt);
            } else {
                attempt.requestStop(NO_GRACE_PERIOD);
            }
        }
    }
}
