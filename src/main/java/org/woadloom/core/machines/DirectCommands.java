package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.jobs.TaskAttempt.Stage;
import org.woadloom.protocol.TaskCommand;

/** Sends commands directly to agents, one request at a time to each. */
public final class DirectCommands {
    private static final int MAX_COMMANDS = HeartbeatCommands.MAX_COMMANDS;
    private static final int STATUS_OK = 200;

    /** The agent refused the command's token or incarnation and executed nothing. */
    private static final int STATUS_CONFLICT = 409;

    /** The request did not leave this node. */
    private static final int NOT_SENT = -1;

    private static final long CONFLICT_PAUSE_MICROS = 100_000;
    private static final long PAUSE_MICROS = 2_000_000;

    private final SchedulerState state;
    private final HeartbeatHandler heartbeats;
    private final TaskLossHandler taskLosses;
    private final Map<Long, Sent> sent = new HashMap<>();

    /** The attempts that a request starts, and when it was sent. */
    private record Sent(List<TaskAttempt> starts, long sentMicros) {}

    public DirectCommands(
            SchedulerState state, HeartbeatHandler heartbeats, TaskLossHandler taskLosses) {
        this.state = state;
        this.heartbeats = heartbeats;
        this.taskLosses = taskLosses;
    }

    /** Emits a request to each agent for which there are commands, and none in flight. */
    public void emitCommands() {
        for (Machine machine : List.copyOf(state.machinesWithPendingCommands())) {
            if (machine.isDeleted()) {
                state.clearPendingCommands(machine);
            } else if (!machine.commands.isCommandInFlight()
                    && !machine.address().isEmpty()
                    && machine.acceptsDirectCommands(state.nowMicros())
                    && machine.liveness.incarnation() >= machine.liveness.minIncarnation()) {
                send(machine);
            }
        }
    }

    private void send(Machine machine) {
        List<TaskCommand> commands = new ArrayList<>();
        List<TaskAttempt> starts = new ArrayList<>();
        boolean complete = !machine.hasAcknowledgedTerm() || collect(machine, commands, starts);
        if (complete) {
            state.clearPendingCommands(machine);
        }
        boolean tokenRequested = machine.commands.takeTokenRequest();
        if (commands.isEmpty() && !tokenRequested) {
            return;
        }
        long id = state.newCommandId();
        machine.commands.onSent(id);
        for (TaskAttempt attempt : starts) {
            attempt.onStartSent(machine.liveness.fencingToken());
        }
        sent.put(id, new Sent(starts, state.nowMicros()));
        state.emit(
                new SchedulerAction.SendDirectCommand(
                        id,
                        machine.host,
                        machine.address(),
                        machine.liveness.issueToken(state.nowMicros()),
                        machine.liveness.incarnation(),
                        commands));
    }

    /** Collects the commands that are due; returns false if there are more than one request has. */
    private boolean collect(Machine machine, List<TaskCommand> commands, List<TaskAttempt> starts) {
        for (TaskAttempt attempt : machine.attempts()) {
            if (commands.size() >= MAX_COMMANDS) {
                return false;
            }
            if (attempt.stage() == Stage.READY && !attempt.isStopping()) {
                commands.add(TaskCommand.start(attempt.taskId(), attempt.attemptNumber));
                starts.add(attempt);
            } else if (attempt.isStopping()
                    && !attempt.wasNeverSent()
                    && attempt.stopSentMicros() < 0) {
                attempt.onStopSent(state.nowMicros());
                // Stops come first, so that the resources they free are there for the starts.
                commands.add(
                        0,
                        TaskCommand.stop(
                                attempt.taskId(),
                                attempt.attemptNumber,
                                attempt.gracePeriodSeconds()));
            }
        }
        return true;
    }

    /** Takes in an agent's answer, or that there is none. */
    public void onCompleted(SchedulerEvent.DirectCommandCompleted result) {
        Sent command = sent.remove(result.commandId());
        Machine machine = state.machines().get(result.host());
        if (machine == null || command == null) {
            return;
        }
        List<TaskAttempt> starts = command.starts;
        if (machine.commands.onCompleted(result.commandId())) {
            machine.markPendingCommands();
        }
        starts.removeIf(attempt -> attempt.job.attempt(attempt.taskIndex) != attempt);
        if (result.heartbeat() != null
                && heartbeats.stepDownIfLaterTerm(machine, result.heartbeat())) {
            return;
        }
        if (result.status() == STATUS_OK && result.heartbeat() != null) {
            for (TaskAttempt attempt : starts) {
                attempt.onConfirmed();
            }
            heartbeats.apply(machine, result.heartbeat(), command.sentMicros);
        } else if (result.status() == STATUS_CONFLICT || result.status() == NOT_SENT) {
            onNotExecuted(machine, command, result);
        } else {
            onNoAnswer(machine, starts);
        }
    }

    /** Nothing was executed: the starts can be sent again as they are. */
    private void onNotExecuted(
            Machine machine, Sent command, SchedulerEvent.DirectCommandCompleted result) {
        command.starts.forEach(this::returnToReady);
        if (result.heartbeat() != null) {
            heartbeats.apply(machine, result.heartbeat(), command.sentMicros);
            if (!machine.liveness.hasAcknowledgedToken()) {
                // It was sent to another incarnation; the present one is known now.
                machine.requestToken();
            }
        }
        long pauseMicros =
                result.status() == STATUS_CONFLICT ? CONFLICT_PAUSE_MICROS : PAUSE_MICROS;
        machine.commands.pauseUntil(state.nowMicros() + pauseMicros);
    }

    private void returnToReady(TaskAttempt attempt) {
        if (attempt.stage() != Stage.SENT) {
            return;
        }
        if (attempt.isStopping()) {
            taskLosses.remove(attempt);
        } else {
            attempt.markReady();
        }
    }

    /**
     * The starts may be executed minutes late; a higher token makes the agent refuse them from then
     * on.
     */
    private void onNoAnswer(Machine machine, List<TaskAttempt> starts) {
        machine.commands.pauseUntil(
                state.nowMicros()
                        + (machine.liveness.isUnreachable(state.nowMicros())
                                ? state.settings().leaseDurationMicros() / 2
                                : PAUSE_MICROS));
        for (TaskAttempt attempt : starts) {
            if (attempt.stage() == Stage.SENT) {
                attempt.onStartUnanswered();
            }
        }
        if (!starts.isEmpty()) {
            machine.liveness.incrementFence();
            machine.requestToken();
            state.log(
                    LogEntry.info(LogEvent.DIRECT_COMMAND_UNANSWERED)
                            .with("machine", machine.host)
                            .with("starts", starts.size()));
        }
        for (TaskAttempt attempt : machine.attempts()) {
            attempt.resendStop();
        }
    }
}
