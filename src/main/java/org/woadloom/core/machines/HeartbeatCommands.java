package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.List;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.jobs.TaskAttempt.Stage;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskStatus;

/** Selects the commands that are sent to an agent in the answer to its heartbeat. */
final class HeartbeatCommands {
    /** No start or stop of an attempt is added to a message that has this many commands. */
    static final int MAX_COMMANDS = 400;

    private final SchedulerState state;
    private final ExitAcknowledgements acknowledgements;

    HeartbeatCommands(SchedulerState state, ExitAcknowledgements acknowledgements) {
        this.state = state;
        this.acknowledgements = acknowledgements;
    }

    /**
     * Returns the commands that answer a heartbeat. The heartbeat must have been applied before.
     * May raise the machine's fencing token.
     */
    List<TaskCommand> commandsFor(Machine machine, Heartbeat heartbeat) {
        List<TaskCommand> commands =
                new ArrayList<>(acknowledgements.acknowledge(machine, heartbeat));
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.state() != TaskStatus.State.EXITED
                    && AttemptReconciler.findAttempt(state, machine, task) == null) {
                commands.add(TaskCommand.stop(task.task(), task.attempt(), 0));
            }
        }
        addAttemptCommands(machine, heartbeat, commands);
        return commands;
    }

    /**
     * Every answer repeats the stops that are due, because an answer without them would renew the
     * lease of a task that has to end. Starts are sent this way only while direct commands fail.
     */
    private void addAttemptCommands(
            Machine machine, Heartbeat heartbeat, List<TaskCommand> commands) {
        boolean sendsStarts =
                machine.hasAcknowledgedTerm()
                        && !machine.acceptsDirectCommands(state.nowMicros())
                        && !machine.liveness.isSuspect(state.nowMicros());
        for (TaskAttempt attempt : machine.attempts()) {
            if (commands.size() >= MAX_COMMANDS) {
                return;
            }
            if (attempt.isStopping() && !attempt.wasNeverSent()) {
                commands.add(
                        TaskCommand.stop(
                                attempt.taskId(),
                                attempt.attemptNumber,
                                attempt.gracePeriodSeconds()));
            } else if (attempt.stage() == Stage.READY && sendsStarts && !attempt.isStopping()) {
                attempt.onStartSentInResponse(heartbeat.sequence());
                commands.add(TaskCommand.start(attempt.taskId(), attempt.attemptNumber));
            }
        }
    }
}
