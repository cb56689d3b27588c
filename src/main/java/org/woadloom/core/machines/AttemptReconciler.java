package org.woadloom.core.machines;

import java.util.List;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskStatus;

/** Reconciles the attempts of a machine with the tasks listed in a message from its agent. */
final class AttemptReconciler {
    private final SchedulerState state;
    private final TaskLossHandler taskLosses;
    private final TaskExitHandler exits;

    /**
     * The number of the last message (a heartbeat or a response to a direct command) that was
     * applied. Each attempt that a message lists is marked with the message's number, so an attempt
     * with an older mark is not listed in the message.
     */
    private long lastMessageNumber;

    AttemptReconciler(SchedulerState state, TaskLossHandler taskLosses, TaskExitHandler exits) {
        this.state = state;
        this.taskLosses = taskLosses;
        this.exits = exits;
    }

    /**
     * Applies a message that is not a duplicate: first exits that match no attempt, then attempts
     * that the message does not list, then those that it lists.
     *
     * @param isHeartbeat false for the body of an answer to a direct command
     */
    void reconcile(Machine machine, Heartbeat heartbeat, boolean isHeartbeat) {
        List<TaskStatus> tasks = heartbeat.tasks();
        TaskAttempt[] listed = new TaskAttempt[tasks.size()];
        long messageNumber = ++lastMessageNumber;
        int listedCount = 0;
        for (int i = 0; i < listed.length; i++) {
            TaskStatus task = tasks.get(i);
            TaskAttempt attempt = findAttempt(state, machine, task);
            listed[i] = attempt;
            if (attempt == null) {
                if (task.state() == TaskStatus.State.EXITED) {
                    exits.onExitWithoutAttempt(machine, task);
                }
            } else if (attempt.lastListingMessage() != messageNumber) {
                attempt.onListedInMessage(messageNumber);
                listedCount++;
            }
        }
        if (listedCount < machine.attempts().size()) {
            for (TaskAttempt attempt : machine.snapshot()) {
                if (attempt.lastListingMessage() != messageNumber) {
                    onNotListed(attempt, heartbeat, isHeartbeat);
                }
            }
        }
        for (int i = 0; i < listed.length; i++) {
            if (listed[i] != null) {
                onListed(listed[i], tasks.get(i));
            }
        }
    }

    /**
     * Returns the attempt that a listed task refers to, or null if the machine no longer has it.
     */
    static TaskAttempt findAttempt(SchedulerState state, Machine machine, TaskStatus task) {
        Job job = state.jobs().get(task.task().jobId());
        TaskAttempt attempt = job == null ? null : job.attempt(task.task().index());
        return attempt != null
                        && attempt.machine == machine
                        && attempt.attemptNumber == task.attempt()
                ? attempt
                : null;
    }

    private void onListed(TaskAttempt attempt, TaskStatus task) {
        if (task.state() == TaskStatus.State.EXITED) {
            exits.onExited(attempt, task);
            return;
        }
        if (attempt.stage() != TaskAttempt.Stage.SENT) {
            attempt.onConfirmed();
        }
        if (task.state() == TaskStatus.State.RUNNING) {
            if (attempt.reportedState() != TaskStatus.State.RUNNING) {
                attempt.onRunning(state.nowMicros());
                attempt.job.persistence.requestWrite(PersistenceState.WriteUrgency.TASK_PROGRESS);
            }
            attempt.machine.onImageUsed(attempt.job);
        }
        attempt.onReported(task.state());
    }

    private void onNotListed(TaskAttempt attempt, Heartbeat heartbeat, boolean isHeartbeat) {
        LossProof proof = LossProof.of(attempt, heartbeat, isHeartbeat, state.term());
        if (proof.provesLoss()) {
            taskLosses.onLost(attempt, proof.lossReason());
        } else if (proof == LossProof.START_NOT_EXECUTED) {
            if (attempt.isStopping()) {
                taskLosses.remove(attempt);
            } else {
                attempt.markReady();
            }
            // A single lost answer is harmless. If the next ones are lost too, the token stays
            // unacknowledged and the agent counts as unreachable.
            attempt.machine.liveness.requireAcknowledgement();
        }
    }
}
