package org.woadloom.core.machines;

import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.protocol.TaskStatus;

/**
 * Handles the exits of tasks: records the outcome, and decides whether the job or the machine is at
 * fault for failures.
 */
final class TaskExitHandler {
    private static final long RETRY_MICROS = 1_000_000;
    private static final long MAX_BACKOFF_MICROS = 60_000_000;

    /**
     * Limits the doublings of the backoff; with this many it exceeds {@link #MAX_BACKOFF_MICROS}.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    /** How long a failure counts against its machine. */
    private static final long FAILURE_WINDOW_MICROS = 60_000_000;

    /** A machine counts as faulty once tasks of this many different jobs have failed on it. */
    private static final int MIN_FAILED_JOBS_OF_FAULTY_MACHINE = 2;

    /** A job whose tasks failed on more machines than this counts as faulty itself. */
    private static final int MAX_FAILED_MACHINES_OF_HEALTHY_JOB = 2;

    private final SchedulerState state;
    private final TaskLossHandler taskLosses;
    private final ExitAcknowledgements acknowledgements;

    TaskExitHandler(
            SchedulerState state,
            TaskLossHandler taskLosses,
            ExitAcknowledgements acknowledgements) {
        this.state = state;
        this.taskLosses = taskLosses;
        this.acknowledgements = acknowledgements;
    }

    void onExited(TaskAttempt attempt, TaskStatus task) {
        Job job = attempt.job;
        Machine machine = attempt.machine;
        state.log(
                LogEntry.debug(LogEvent.TASK_EXITED)
                        .with("task", attempt.taskId())
                        .with("attempt", attempt.attemptNumber)
                        .with("machine", machine.host)
                        .with("reason", task.exitReason()));
        applyExitReason(attempt, task);
        if (!task.wasRefused()) {
            machine.onImageUsed(job);
        }
        if (task.exitReason() == TaskStatus.ExitReason.ERROR) {
            taskLosses.removeFailed(attempt);
        } else {
            taskLosses.remove(attempt);
        }
        if (job.isComplete()) {
            job.persistence.requestWrite(PersistenceState.WriteUrgency.IMMEDIATE);
        }
        acknowledgements.add(
                machine, task, job.persistence.nextVersion(), attempt.directStartToken());
    }

    private void applyExitReason(TaskAttempt attempt, TaskStatus task) {
        Job job = attempt.job;
        switch (task.exitReason()) {
            case DONE -> {
                if (!job.description.isService()) {
                    job.markCompleted(attempt.taskIndex);
                }
            }
            case ERROR -> onTaskFailed(job, attempt.machine);
            case UNKNOWN_TASK -> job.placeNotBefore(state.nowMicros() + RETRY_MICROS);
            case INSUFFICIENT_RESOURCES, ALREADY_RUNNING -> onRefused(attempt, task);
            default -> {
                // The task was stopped; it is placed again like any other.
            }
        }
    }

    private void onRefused(TaskAttempt attempt, TaskStatus task) {
        state.log(
                LogEntry.info(LogEvent.TASK_REFUSED)
                        .with("task", attempt.taskId())
                        .with("machine", attempt.machine.host)
                        .with("reason", task.exitReason()));
        attempt.machine.pausePlacementUntil(state.nowMicros() + RETRY_MICROS);
    }

    private void onTaskFailed(Job job, Machine machine) {
        job.countTaskFailure();
        job.failedOnHosts.add(machine.host);
        machine.failedJobs.put(job.jobId(), state.nowMicros());
        quarantineIfFaulty(machine);
        if (job.failedOnHosts.size() > 1) {
            long backoffMicros =
                    RETRY_MICROS << Math.min(MAX_BACKOFF_DOUBLINGS, job.taskFailureCount());
            job.placeNotBefore(state.nowMicros() + Math.min(MAX_BACKOFF_MICROS, backoffMicros));
        }
    }

    /**
     * Quarantines the machine if several jobs failed on it. Jobs that fail on many machines are not
     * counted, because they are at fault themselves.
     */
    private void quarantineIfFaulty(Machine machine) {
        machine.failedJobs
                .entrySet()
                .removeIf(
                        failure ->
                                state.nowMicros() - failure.getValue() > FAILURE_WINDOW_MICROS
                                        || isFaulty(state.jobs().get(failure.getKey())));
        if (machine.failedJobs.size() >= MIN_FAILED_JOBS_OF_FAULTY_MACHINE
                && machine.quarantinedUntilMicros() < state.nowMicros()) {
            machine.quarantineUntil(
                    state.nowMicros() + state.settings().operator().quarantineMicros());
            state.log(
                    LogEntry.info(LogEvent.MACHINE_QUARANTINED)
                            .with("machine", machine.host)
                            .with("failed_jobs", machine.failedJobs.size()));
        }
    }

    private static boolean isFaulty(Job job) {
        return job != null && job.failedOnHosts.size() > MAX_FAILED_MACHINES_OF_HEALTHY_JOB;
    }

    /**
     * Handles an exit without a matching attempt: the attempt was started by an earlier leader, or
     * was considered lost. A completed task still counts as completed.
     */
    void onExitWithoutAttempt(Machine machine, TaskStatus task) {
        Job job = state.jobs().get(task.task().jobId());
        if (job == null || acknowledgements.contains(machine, task)) {
            return;
        }
        long startToken = machine.commands.lastStartToken();
        if (completesTask(job, task)) {
            stopOtherAttempt(job, task.task().index());
            job.persistence.requestWrite(
                    job.isComplete()
                            ? PersistenceState.WriteUrgency.IMMEDIATE
                            : PersistenceState.WriteUrgency.TASK_ENDED);
            acknowledgements.add(machine, task, job.persistence.nextVersion(), startToken);
        } else {
            // There is no outcome to write.
            acknowledgements.add(machine, task, 0, startToken);
        }
    }

    private static boolean completesTask(Job job, TaskStatus task) {
        int index = task.task().index();
        return index < job.description.taskCount()
                && task.exitReason() == TaskStatus.ExitReason.DONE
                && !job.description.isService()
                && !job.isCancelled()
                && job.markCompleted(index);
    }

    private void stopOtherAttempt(Job job, int index) {
        TaskAttempt other = job.attempt(index);
        if (other != null && other.wasNeverSent()) {
            taskLosses.remove(other);
        } else if (other != null) {
            other.requestStop(0);
        }
    }
}
