package org.woadloom.core.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.PersistenceState.WriteUrgency;
import org.woadloom.store.FinalRecord;

/**
 * Writes the jobs' records to the store as their state changes, within the write budget. A job has
 * at most one write in flight.
 */
public final class JobPersister {
    /** Minimum interval between writes of a job that only record task progress. */
    private static final long TASK_PROGRESS_INTERVAL_MICROS = 1_000_000;

    /** Minimum interval between writes of a job that record the end of tasks, which users see. */
    private static final long TASK_ENDED_INTERVAL_MICROS = 250_000;

    private static final long RETRY_MICROS = 150_000;

    /**
     * Longer than the usual retry interval: a record that exceeds the store's value limit shrinks
     * only as tasks end.
     */
    private static final long TOO_LARGE_RETRY_MICROS = 1_000_000;

    /**
     * In the order of writes, an immediate one counts as waiting this much longer, because start
     * commands wait for it.
     */
    private static final long IMMEDIATE_ADVANTAGE_MICROS = 2_000_000;

    /**
     * Cost of a write against the write budget, in changes to the store. Replacing the record by
     * the final state takes two.
     */
    private static final int FINAL_STATE_COST = 2;

    private static final int RECORD_COST = 1;

    /**
     * Jobs that have ended first, then the least recently written, so that no job's updates are
     * delayed indefinitely. Writes that start commands wait for have an advantage.
     */
    private static final Comparator<Job> WRITE_ORDER =
            Comparator.comparing((Job job) -> !job.isTerminal())
                    .thenComparingLong(JobPersister::writeOrderMicros);

    private final SchedulerState state;
    private final JobRegistry jobs;

    public JobPersister(SchedulerState state, JobRegistry jobs) {
        this.state = state;
        this.jobs = jobs;
    }

    private static long writeOrderMicros(Job job) {
        PersistenceState persistence = job.persistence;
        return persistence.pendingUrgency() == WriteUrgency.IMMEDIATE
                ? persistence.lastWriteMicros() - IMMEDIATE_ADVANTAGE_MICROS
                : persistence.lastWriteMicros();
    }

    /** Emits the reads and writes that are due. Writes beyond the budget wait for a later call. */
    public void emitDueRequests() {
        List<Job> dueJobs = new ArrayList<>();
        List<Job> replacedJobs = new ArrayList<>();
        state.removeJobsToPersistIf(job -> job.isRemoved() || !job.persistence.hasPendingRequest());
        for (Job job : state.jobsToPersist()) {
            PersistenceState persistence = job.persistence;
            if (persistence.isReplaced()) {
                if (job.attempts().isEmpty()) {
                    replacedJobs.add(job);
                }
            } else if (state.nowMicros() >= persistence.retryAtMicros()) {
                if (persistence.isReadNeeded()) {
                    startReadUnlessInFlight(job);
                } else if (persistence.isIdle() && isDue(job)) {
                    dueJobs.add(job);
                }
            }
        }
        replacedJobs.forEach(job -> jobs.remove(job, false));
        if (dueJobs.size() > 1) {
            dueJobs.sort(WRITE_ORDER);
        }
        for (Job job : dueJobs) {
            if (isWithinBudget(job)) {
                write(job);
            }
        }
    }

    /**
     * Task progress and ends of tasks are batched: changes within the interval, or while the budget
     * is exhausted, go out in one write.
     */
    private boolean isDue(Job job) {
        long sinceLastWrite = state.nowMicros() - job.persistence.lastWriteMicros();
        return switch (job.persistence.pendingUrgency()) {
            case NONE -> false;
            case TASK_PROGRESS -> sinceLastWrite >= TASK_PROGRESS_INTERVAL_MICROS;
            case TASK_ENDED -> sinceLastWrite >= TASK_ENDED_INTERVAL_MICROS;
            case IMMEDIATE -> true;
        };
    }

    private boolean isWithinBudget(Job job) {
        return job.isTerminal()
                ? state.writeBudget().allowsFinalStateWrite()
                : state.writeBudget().allowsJobWrite();
    }

    private void startReadUnlessInFlight(Job job) {
        if (!job.persistence.isReading()) {
            job.persistence.startRead(state.nowMicros() + RETRY_MICROS);
            state.emit(new SchedulerAction.ReadJob(job.jobId()));
        }
    }

    private void write(Job job) {
        if (job.isTerminal() && job.attempts().isEmpty()) {
            writeFinalState(job);
        } else {
            writeRecord(job);
        }
    }

    private void writeFinalState(Job job) {
        state.writeBudget().consumeJobTokens(FINAL_STATE_COST);
        long version = job.persistence.startFinalWrite(state.nowMicros(), job.isComplete());
        FinalRecord record =
                new FinalRecord(
                        job.jobId(),
                        job.isCancelled(),
                        job.completedTaskCount(),
                        state.wallMicros(),
                        job.description.isService());
        state.emit(
                new SchedulerAction.WriteFinalState(record, job.persistence.revision(), version));
    }

    private void writeRecord(Job job) {
        state.writeBudget().consumeJobTokens(RECORD_COST);
        boolean urgent = job.persistence.pendingUrgency() == WriteUrgency.IMMEDIATE;
        long version = job.persistence.startWrite(state.nowMicros(), job.isComplete());
        state.emit(
                new SchedulerAction.WriteJob(
                        job.toRecord(state.term(), version), job.persistence.revision(), urgent));
    }

    public void onWriteCompleted(SchedulerEvent.JobWriteCompleted result) {
        Job job = state.jobs().get(result.jobId());
        if (job == null) {
            return;
        }
        boolean isInFlight = job.persistence.isInFlight(result.version());
        switch (result.outcome()) {
            case WRITTEN -> onWritten(job, result);
            case CONFLICT, UNKNOWN -> {
                if (isInFlight) {
                    job.persistence.requireRead();
                    state.markForPersistence(job);
                }
            }
            case TOO_LARGE -> {
                if (isInFlight) {
                    onRecordTooLarge(job);
                }
            }
            case NOT_WRITTEN -> {
                if (isInFlight) {
                    job.persistence.onWriteRefused(state.nowMicros() + RETRY_MICROS);
                }
            }
        }
    }

    private void onWritten(Job job, SchedulerEvent.JobWriteCompleted result) {
        boolean isFinalState = job.persistence.isFinalStateInFlight(result.version());
        job.persistence.onWriteConfirmed(result.version(), result.revision());
        job.releaseDurableAttempts();
        state.dependencies().onOutcome(job);
        if (isFinalState) {
            LogEvent event = job.isCancelled() ? LogEvent.JOB_CANCELLED : LogEvent.JOB_DONE;
            state.log(LogEntry.info(event).with("job", job.jobId()));
            jobs.remove(job, true);
        }
    }

    /**
     * Handles a record that exceeds the store's value limit. Attempts that the stored record does
     * not name yet were never sent and are removed. The rest of the update is retried until enough
     * tasks have ended for it to fit; meanwhile the stored record names at least the attempts that
     * exist.
     */
    private void onRecordTooLarge(Job job) {
        long retryAtMicros = state.nowMicros() + TOO_LARGE_RETRY_MICROS;
        job.persistence.onWriteRefused(retryAtMicros);
        int removedAttempts = 0;
        for (TaskAttempt attempt : new ArrayList<>(job.attempts())) {
            if (attempt.stage() == TaskAttempt.Stage.PLANNED) {
                job.removeAttempt(attempt);
                removedAttempts++;
            }
        }
        job.placeNotBefore(Math.max(job.placeNotBeforeMicros(), retryAtMicros));
        state.requestPlacement();
        state.log(
                LogEntry.info(LogEvent.JOB_RECORD_TOO_LARGE)
                        .with("job", job.jobId())
                        .with("waiting_tasks", removedAttempts));
    }

    /** Schedules another read after one that got no response. */
    public void onReadFailed(String jobId) {
        Job job = state.jobs().get(jobId);
        if (job != null && job.persistence.isReadNeeded()) {
            job.persistence.onReadFailed(state.nowMicros() + RETRY_MICROS);
        }
    }
}
