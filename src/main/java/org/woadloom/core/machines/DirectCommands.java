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

/** Sends commands directly to agents, at most one request at a time to each. */
public final class DirectCommands {
    private static final int MAX_COMMANDS = HeartbeatCommands.MAX_COMMANDS;
    private static final int STATUS_OK = 200;

    /** The agent refused the command's token or incarnation and executed nothing. */
    private static final int STATUS_CONFLICT = 409;

    /** The request was never sent by this node. */
    private static final int NOT_SENT = -1;

    private static final long CONFLICT_PAUSE_MICROS = 100_000;
    private static final long FAILURE_PAUSE_MICROS = 2_000_000;

    private final SchedulerState state;
    private final HeartbeatHandler heartbeats;
    private final TaskLossHandler taskLosses;
    private final Map<Long, InFlightCommand> inFlight = new HashMap<>();
    private long refusedCount;

    /** A request in flight: the attempts that it starts, and when it was sent. */
    private record InFlightCommand(List<TaskAttempt> starts, long sentMicros) {}

    public DirectCommands(
            SchedulerState state, HeartbeatHandler heartbeats, TaskLossHandler taskLosses) {
        this.state = state;
        this.heartbeats = heartbeats;
        this.taskLosses = taskLosses;
    }

    /** Emits a request to each agent that has pending commands and no request in flight. */
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
        if (!starts.isEmpty()) {
            onStartsSent(machine, starts);
        }
        inFlight.put(id, new InFlightCommand(starts, state.nowMicros()));
        state.emit(
                new SchedulerAction.SendDirectCommand(
                        id,
                        machine.host,
                        machine.address(),
                        machine.liveness.issueToken(state.nowMicros()),
                        machine.liveness.incarnation(),
                        commands));
    }

    private void onStartsSent(Machine machine, List<TaskAttempt> starts) {
        long token = machine.liveness.fencingToken();
        machine.commands.onStartsSent(token);
        for (TaskAttempt attempt : starts) {
            attempt.onStartSent(token);
            state.log(
                    LogEntry.debug(LogEvent.TASK_START_SENT)
                            .with("task", attempt.taskId())
                            .with("attempt", attempt.attemptNumber)
                            .with("machine", machine.host)
                            .with("token", token)
                            .with("record_version", attempt.recordVersion));
        }
    }

    /**
     * Collects the commands that are due. Returns false if they do not all fit into one request.
     */
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
                // Stops come first, so that the resources they free are available to the starts.
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

    /** Handles the answer to a direct command, or the lack of one. */
    public void onCompleted(SchedulerEvent.DirectCommandCompleted result) {
        InFlightCommand command = inFlight.remove(result.commandId());
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

    /** Number of direct commands that agents refused in this term. */
    public long refusedCount() {
        return refusedCount;
    }

    /** The agent executed nothing, so the starts can be sent again unchanged. */
    private void onNotExecuted(
            Machine machine,
            InFlightCommand command,
            SchedulerEvent.DirectCommandCompleted result) {
        if (result.status() == STATUS_CONFLICT) {
            refusedCount++;
        }
        command.starts.forEach(this::returnToReady);
        if (result.heartbeat() != null) {
            heartbeats.apply(machine, result.heartbeat(), command.sentMicros);
            if (!machine.liveness.hasAcknowledgedToken()) {
                // The command addressed another incarnation. The current one is known now.
                machine.requestToken();
            }
        }
        long pauseMicros =
                result.status() == STATUS_CONFLICT ? CONFLICT_PAUSE_MICROS : FAILURE_PAUSE_MICROS;
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
     * The starts may still be executed minutes later. A higher fencing token is issued, and the
     * agent refuses them once it has seen it.
     */
    private void onNoAnswer(Machine machine, List<TaskAttempt> starts) {
        machine.commands.pauseUntil(
                state.nowMicros()
                        + (machine.liveness.isUnreachable(state.nowMicros())
                                ? state.settings().leaseDurationMicros() / 2
                                : FAILURE_PAUSE_MICROS));
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
