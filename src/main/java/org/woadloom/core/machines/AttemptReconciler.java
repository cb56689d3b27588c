package org.woadloom.core.machines;

import java.util.List;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskStatus;

/** Reconciles the attempts of a machine with the tasks that a message of its agent lists. */
final class AttemptReconciler {
    private final SchedulerState state;
    private final TaskLossHandler taskLosses;
    private final TaskExitHandler exits;

    /** Numbers the messages, to tell which attempts the present one has listed. */
    private long messagesApplied;

    AttemptReconciler(SchedulerState state, TaskLossHandler taskLosses, TaskExitHandler exits) {
        this.state = state;
        this.taskLosses = taskLosses;
        this.exits = exits;
    }

    /**
     * Takes in a message that is no duplicate: first exits without an attempt, then attempts that
     * are not listed, then those that are.
     *
     * @param ownHeartbeat false for the body of a direct command's answer
     */
    void reconcile(Machine machine, Heartbeat heartbeat, boolean ownHeartbeat) {
        List<TaskStatus> tasks = heartbeat.tasks();
        TaskAttempt[] listed = new TaskAttempt[tasks.size()];
        long messageNumber = ++messagesApplied;
        int found = 0;
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
                found++;
            }
        }
        if (found < machine.attempts().size()) {
            for (TaskAttempt attempt : machine.snapshot()) {
                if (attempt.lastListingMessage() != messageNumber) {
                    onNotListed(attempt, heartbeat, ownHeartbeat);
                }
            }
        }
        for (int i = 0; i < listed.length; i++) {
            if (listed[i] != null) {
                onListed(listed[i], tasks.get(i));
            }
        }
    }

    /** The attempt that the agent lists, or null if the machine has no such attempt any more. */
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

    private void onNotListed(TaskAttempt attempt, Heartbeat heartbeat, boolean ownHeartbeat) {
        LossProof proof = LossProof.of(attempt, heartbeat, ownHeartbeat, state.term());
        if (proof.provesLoss()) {
            taskLosses.onLost(attempt, proof.lossReason());
        } else if (proof == LossProof.START_NOT_EXECUTED) {
            if (attempt.isStopping()) {
                taskLosses.remove(attempt);
            } else {
                attempt.markReady();
            }
            // One lost answer is nothing; if the next ones are lost as well, the agent is
            // unreachable.
            attempt.machine.liveness.requireAcknowledgement();
        }
    }
}
