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
 * Keeps the jobs' durable records up with what the scheduler knows, within the write budget; one
 * write of a job is in flight at a time.
 */
public final class JobPersister {
    /** How long after a write the next one leaves that only tells of phases. */
    private static final long PHASE_INTERVAL_MICROS = 1_000_000;

    /** The same where tasks have ended, which users see. */
    private static final long OUTCOME_INTERVAL_MICROS = 250_000;

    private static final long RETRY_MICROS = 150_000;

    /** A record that is too large gets shorter only as tasks end. */
    private static final long TOO_LARGE_RETRY_MICROS = 1_000_000;

    /** How much sooner than by its turn a write leaves that start commands wait for. */
    private static final long IMMEDIATE_ADVANTAGE_MICROS = 2_000_000;

    /** What a write takes from the budget: a final state replaces the record, two changes. */
    private static final int CHANGES_OF_FINAL_STATE = 2;

    private static final int CHANGES_OF_RECORD = 1;

    /**
     * Ends and cancellations first, then what was written longest ago, with an advantage for what
     * start commands wait for: so no completion starves.
     */
    private static final Comparator<Job> WRITE_ORDER =
            Comparator.comparing((Job job) -> !job.isTerminal())
                    .thenComparingLong(JobPersister::turnMicros);

    private final SchedulerState state;
    private final JobRegistry jobs;

    public JobPersister(SchedulerState state, JobRegistry jobs) {
        this.state = state;
        this.jobs = jobs;
    }

    private static long turnMicros(Job job) {
        PersistenceState persistence = job.persistence;
        return persistence.pendingReason() == WriteUrgency.IMMEDIATE
                ? persistence.lastWriteMicros() - IMMEDIATE_ADVANTAGE_MICROS
                : persistence.lastWriteMicros();
    }

    /** Emits the reads and writes that are due; what the budget does not allow waits. */
    public void emitDueRequests() {
        List<Job> due = new ArrayList<>();
        List<Job> replaced = new ArrayList<>();
        state.removeJobsToPersistIf(job -> job.isRemoved() || !job.persistence.needsExchange());
        for (Job job : state.jobsToPersist()) {
            PersistenceState persistence = job.persistence;
            if (persistence.isReplaced()) {
                if (job.attempts().isEmpty()) {
                    replaced.add(job);
                }
            } else if (state.nowMicros() >= persistence.retryAtMicros()) {
                if (persistence.isReadNeeded()) {
                    readUnlessOpen(job);
                } else if (persistence.isIdle() && isDue(job)) {
                    due.add(job);
                }
            }
        }
        replaced.forEach(job -> jobs.remove(job, false));
        if (due.size() > 1) {
            due.sort(WRITE_ORDER);
        }
        for (Job job : due) {
            if (isWithinBudget(job)) {
                write(job);
            }
        }
    }

    /**
     * Phases and outcomes are collected for a while; whatever the budget does not allow yet is
     * written later, as one.
     */
    private boolean isDue(Job job) {
        long sinceLastWrite = state.nowMicros() - job.persistence.lastWriteMicros();
        return switch (job.persistence.pendingReason()) {
            case NONE -> false;
            case TASK_PROGRESS -> sinceLastWrite >= PHASE_INTERVAL_MICROS;
            case TASK_ENDED -> sinceLastWrite >= OUTCOME_INTERVAL_MICROS;
            case IMMEDIATE -> true;
        };
    }

    private boolean isWithinBudget(Job job) {
        return job.isTerminal()
                ? state.writeBudget().allowsFinalStateWrite()
                : state.writeBudget().allowsJobWrite();
    }

    private void readUnlessOpen(Job job) {
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
        state.writeBudget().consumeJobTokens(CHANGES_OF_FINAL_STATE);
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
        state.writeBudget().consumeJobTokens(CHANGES_OF_RECORD);
        boolean urgent = job.persistence.pendingReason() == WriteUrgency.IMMEDIATE;
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
        jobs.onWriteAcknowledged(job);
        if (isFinalState) {
            LogEvent event = job.isCancelled() ? LogEvent.JOB_CANCELLED : LogEvent.JOB_DONE;
            state.log(LogEntry.info(event).with("job", job.jobId()));
            jobs.remove(job, true);
        }
    }

    /**
     * The record as it is can't be stored. What was planned for it and never sent is taken back;
     * what else it should say waits until tasks have ended and it is shorter: the stored one names
     * at least as much as there is.
     */
    private void onRecordTooLarge(Job job) {
        long retryAtMicros = state.nowMicros() + TOO_LARGE_RETRY_MICROS;
        job.persistence.onWriteRefused(retryAtMicros);
        int planned = 0;
        for (TaskAttempt attempt : new ArrayList<>(job.attempts())) {
            if (attempt.stage() == TaskAttempt.Stage.PLANNED) {
                job.removeAttempt(attempt);
                planned++;
            }
        }
        job.placeNotBefore(Math.max(job.placeNotBeforeMicros(), retryAtMicros));
        state.requestPlacement();
        state.log(
                LogEntry.info(LogEvent.JOB_RECORD_TOO_LARGE)
                        .with("job", job.jobId())
                        .with("waiting_tasks", planned));
    }

    /** A read that got no answer is sent again. */
    public void onReadFailed(String jobId) {
        Job job = state.jobs().get(jobId);
        if (job != null && job.persistence.isReadNeeded()) {
            job.persistence.onReadFailed(state.nowMicros() + RETRY_MICROS);
        }
    }
}
