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
    private static final long IMMEDIATE_AHEAD_MICROS = 2_000_000;

    /**
     * Ends and cancellations first, then what was written longest ago, launches with a start: no
     * completion starves.
     */
    private static final Comparator<Job> WRITE_ORDER =
            Comparator.comparing((Job job) -> !job.isOver())
                    .thenComparingLong(
                            job ->
                                    job.persistence.lastWriteMicros
                                            - (job.persistence.pendingReason
                                                            == PersistenceState.WriteReason
                                                                    .IMMEDIATE
                                                    ? IMMEDIATE_AHEAD_MICROS
                                                    : 0));

    private final SchedulerState state;
    private final JobRegistry jobs;

    public JobPersister(SchedulerState state, JobRegistry jobs) {
        this.state = state;
        this.jobs = jobs;
    }

    public void emitWrites() {
        List<Job> due = new ArrayList<>();
        List<Job> replaced = new ArrayList<>();
        state.unmarkJobsIf(
                job ->
                        job.finished
                                || job.persistence.pendingReason
                                                == PersistenceState.WriteReason.NONE
                                        && !job.persistence.readNeeded);
        for (Job job : state.jobsToPersist()) {
            PersistenceState persistence = job.persistence;
            if (persistence.isReplaced()) {
                if (job.attempts().isEmpty()) {
                    replaced.add(job);
                }
                continue;
            }
            if (state.nowMicros() < persistence.retryAtMicros) {
                continue;
            }
            if (persistence.readNeeded) {
                if (!persistence.readInFlight) {
                    persistence.readInFlight = true;
                    persistence.retryAtMicros = state.nowMicros() + RETRY_MICROS;
                    state.emit(new SchedulerAction.ReadJob(job.jobId()));
                }
            } else if (persistence.versionInFlight == 0 && isDue(job)) {
                due.add(job);
            }
        }
        replaced.forEach(job -> jobs.onFinished(job, false));
        if (due.size() > 1) {
            due.sort(WRITE_ORDER);
        }
        for (Job job : due) {
            if (job.isOver()
                    ? state.writeBudget().allowsFinalState()
                    : state.writeBudget().allowsJob()) {
                write(job);
            }
        }
    }

    private void write(Job job) {
        PersistenceState persistence = job.persistence;
        if (job.isOver() && job.attempts().isEmpty()) {
            state.writeBudget().takeJob(2);
            persistence.finalStateInFlight = true;
            long version = persistence.beginWrite(state.nowMicros(), job.isComplete());
            state.emit(
                    new SchedulerAction.WriteFinalState(
                            new FinalRecord(
                                    job.jobId(),
                                    job.cancelled,
                                    job.completedTasks.cardinality(),
                                    state.wallMicros(),
                                    job.description.isService()),
                            persistence.revision,
                            version));
        } else {
            state.writeBudget().takeJob(1);
            boolean urgent = persistence.pendingReason == PersistenceState.WriteReason.IMMEDIATE;
            long version = persistence.beginWrite(state.nowMicros(), job.isComplete());
            state.emit(
                    new SchedulerAction.WriteJob(
                            job.toRecord(state.term(), version), persistence.revision, urgent));
        }
    }

    /**
     * Outcomes and phases are gathered for a while; whatever the budget does not allow yet is
     * written later, as one.
     */
    private boolean isDue(Job job) {
        long since = state.nowMicros() - job.persistence.lastWriteMicros;
        return switch (job.persistence.pendingReason) {
            case NONE -> false;
            case PHASE -> since >= PHASE_MICROS;
            case OUTCOME -> since >= OUTCOME_MICROS;
            case IMMEDIATE -> true;
        };
    }

    public void onWriteCompleted(SchedulerEvent.JobWriteCompleted result) {
        Job job = state.jobs().get(result.jobId());
        if (job == null) {
            return;
        }
        PersistenceState persistence = job.persistence;
        switch (result.outcome()) {
            case WRITTEN -> {
                boolean finishing =
                        persistence.finalStateInFlight
                                && persistence.versionInFlight == result.version();
                persistence.onWriteConfirmed(result.version(), result.revision());
                job.releaseDurableAttempts();
                jobs.onWriteAcknowledged(job);
                if (finishing) {
                    state.log(
                            LogEntry.info(
                                            job.cancelled
                                                    ? LogEvent.JOB_CANCELLED
                                                    : LogEvent.JOB_DONE)
                                    .with("job", job.jobId()));
                    jobs.onFinished(job, true);
                }
            }
            case CONFLICT, UNKNOWN -> {
                if (persistence.versionInFlight == result.version()) {
                    // Nothing may be concluded from a write without an answer: read before the next
                    // one.
                    persistence.readNeeded = true;
                    persistence.readInFlight = false;
                    state.markForPersistence(job);
                }
            }
            case TOO_LARGE -> {
                if (persistence.versionInFlight == result.version()) {
                    onRecordTooLarge(job);
                }
            }
            case NOT_WRITTEN -> {
                if (persistence.versionInFlight == result.version()) {
                    persistence.onWriteRefused(state.nowMicros() + RETRY_MICROS);
                }
            }
        }
    }

    /**
     * The record as it is can't be stored. What was planned for it and never sent is taken back;
     * what else it should say waits until tasks have ended and it is shorter: the stored one names
     * at least as much as there is.
     */
    private void onRecordTooLarge(Job job) {
        job.persistence.onWriteRefused(state.nowMicros() + TOO_LARGE_MICROS);
        int planned = 0;
        for (TaskAttempt attempt : new ArrayList<>(job.attempts())) {
            if (attempt.stage == TaskAttempt.Stage.PLANNED) {
                job.remove(attempt);
                planned++;
            }
        }
        job.placeNotBeforeMicros =
                Math.max(job.placeNotBeforeMicros, state.nowMicros() + TOO_LARGE_MICROS);
        state.requestPlacement();
        state.log(
                LogEntry.info(LogEvent.JOB_RECORD_TOO_LARGE)
                        .with("job", job.jobId())
                        .with("waiting_tasks", planned));
    }

    /** A read that got no answer is sent again. */
    public void onReadFailed(String jobId) {
        Job job = state.jobs().get(jobId);
        if (job != null && job.persistence.readNeeded) {
            job.persistence.readInFlight = false;
            job.persistence.retryAtMicros = state.nowMicros() + RETRY_MICROS;
        }
    }
}
