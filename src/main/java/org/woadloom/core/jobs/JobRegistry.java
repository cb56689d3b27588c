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

/**
 * Owns the set of jobs that the scheduler knows: adds them from stored records, cancels them, and
 * removes them when they have ended.
 */
public final class JobRegistry {
    /** In seconds. Tasks of a job that has ended need no time to save a checkpoint. */
    private static final double NO_GRACE_PERIOD = 0;

    private final SchedulerState state;

    public JobRegistry(SchedulerState state) {
        this.state = state;
    }

    /**
     * Loads a job from a record that an earlier leader wrote. The attempts that the record names
     * may still be running.
     */
    public void load(SchedulerEvent.StoredJob stored) {
        JobRecord record = stored.record();
        Job job = create(record, stored.revision());
        if (job == null) {
            return;
        }
        for (JobRecord.RecordedAttempt recordedAttempt : record.attempts()) {
            Machine machine = state.machines().get(recordedAttempt.host());
            if (machine == null) {
                // A machine's record is deleted only after the cloud has confirmed the deletion of
                // the machine, so none of the tasks can still run there.
                job.persistence.requestWrite(PersistenceState.WriteUrgency.TASK_ENDED);
                continue;
            }
            for (int i = recordedAttempt.tasks().nextSetBit(0);
                    i >= 0;
                    i = recordedAttempt.tasks().nextSetBit(i + 1)) {
                TaskAttempt attempt =
                        new TaskAttempt(
                                job, i, machine, recordedAttempt.attempt(), 0, state.nowMicros());
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

    /** Handles a job record received from the store's watch or from a read. */
    public void onRecordChanged(JobRecord record, long revision) {
        Job job = state.jobs().get(record.description().jobId());
        if (job == null) {
            // A record of this term, or one with attempts, is an outdated copy of a job that has
            // been removed.
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
        boolean isReadResult = persistence.isReading();
        if (revision < persistence.revision()) {
            return;
        }
        if (record.term() == state.term()
                && record.writeSequence() > persistence.durableVersion()) {
            // This term wrote that version, so it is durable even if the write got no response.
            persistence.onVersionRead(record.writeSequence());
            job.releaseDurableAttempts();
        }
        persistence.onRevisionRead(revision);
        if (record.cancelled() && !job.isCancelled()) {
            cancel(job);
        }
        state.dependencies().onOutcome(job);
        if (isReadResult) {
            // If the write with the unknown outcome was not executed, the record lacks its changes;
            // the next write contains them all.
            persistence.onRecordRead();
        }
    }

    /**
     * Handles a job record that cannot be parsed: it is overwritten with what this leader knows of
     * the job.
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
     * Cancels jobs whose cancellation a node has stored and may confirm to users. The changed
     * records are read once the store responds, because every write is conditional on the record's
     * revision.
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
     * Handles a job whose record no longer exists. Most likely a write of the final state by this
     * leader was executed without a response; or the record was damaged and a cancellation replaced
     * it by the final state. Dependents must not start on a guess, and the attempts count as
     * running until they are proven gone.
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
     * Removes a job whose final state is in the store. An outdated notification can have added a
     * job that had already ended; attempts planned for it since were never started, because its
     * record cannot be written, and must not count against quotas any longer.
     *
     * @param outcomeKnown false if only the store knows whether the job was done or cancelled
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
        long ageMicros = Math.max(0, state.wallMicros() - record.submittedWallMicros());
        Job job =
                new Job(
                        record,
                        revision,
                        team,
                        state.nowMicros() - ageMicros,
                        state::markForPersistence);
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

    private void cancel(Job job) {
        state.serviceLevels().recordIfFullyStarted(job);
        job.markCancelledSince(state.cancellationsReadUpToMicros());
        state.log(LogEntry.info(LogEvent.JOB_CANCEL_REQUESTED).with("job", job.jobId()));
        state.dependencies().onOutcome(job);
        stopAllAttempts(job);
        if (job.attempts().isEmpty()) {
            job.persistence.requestWrite(PersistenceState.WriteUrgency.IMMEDIATE);
        }
        state.requestPlacement();
    }

    /**
     * Stops all attempts of a job that has ended; those whose start was never sent are removed at
     * once.
     */
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
