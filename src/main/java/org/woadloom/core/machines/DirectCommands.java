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

/** Sends commands straight to workers, one request at a time to each. */
public final class DirectCommands {
    private static final int MAX_COMMANDS = 400;
    private static final int NOT_SENT = -1;
    private static final long PAUSE_MICROS = 2_000_000;

    private final SchedulerState state;
    private final HeartbeatHandler heartbeats;
    private final TaskLossHandler taskLosses;
    private final Map<Long, Sent> sent = new HashMap<>();

    /** What went out with a command, and when. */
    private record Sent(List<TaskAttempt> starts, long sentMicros) {}

    public DirectCommands(
            SchedulerState state, HeartbeatHandler heartbeats, TaskLossHandler taskLosses) {
        this.state = state;
        this.heartbeats = heartbeats;
        this.taskLosses = taskLosses;
    }

    public void emitCommands() {
        for (Machine machine : List.copyOf(state.machinesWithPendingCommands())) {
            if (machine.deleted) {
                state.clearPendingCommands(machine);
            } else if (machine.commandInFlight == 0
                    && !machine.address.isEmpty()
                    && machine.acceptsDirectCommands(state.nowMicros())
                    && machine.liveness.incarnation() >= machine.liveness.minIncarnation()) {
                send(machine);
            }
        }
    }

    private void send(Machine machine) {
        List<TaskCommand> commands = new ArrayList<>();
        List<TaskAttempt> starts = new ArrayList<>();
        boolean all = true;
        if (machine.hasAcknowledgedTerm()) {
            for (TaskAttempt attempt : machine.attempts()) {
                if (commands.size() >= MAX_COMMANDS) {
                    all = false;
                    break;
                }
                if (attempt.stage() == Stage.READY && !attempt.isStopping()) {
                    commands.add(TaskCommand.start(attempt.task(), attempt.attempt));
                    starts.add(attempt);
                } else if (attempt.isStopping()
                        && !attempt.wasNeverSent()
                        && attempt.stopSentMicros() < 0) {
                    attempt.onStopSent(state.nowMicros());
                    // Halts come first, so that the room they free is there for the launches.
                    commands.add(
                            0,
                            TaskCommand.stop(
                                    attempt.task(), attempt.attempt, attempt.gracePeriodSeconds()));
                }
            }
        }
        if (all) {
            state.clearPendingCommands(machine);
        }
        boolean tokenDue = machine.takeTokenDue();
        if (commands.isEmpty() && !tokenDue) {
            return;
        }
        long id = state.newCommandId();
        machine.commandInFlight = id;
        for (TaskAttempt attempt : starts) {
            attempt.onStartSent(machine.liveness.fencingToken());
        }
        sent.put(id, new Sent(starts, state.nowMicros()));
        state.emit(
                new SchedulerAction.SendDirectCommand(
                        id,
                        machine.host,
                        machine.address,
                        machine.liveness.issueToken(state.nowMicros()),
                        machine.liveness.incarnation(),
                        commands));
    }

    public void onCompleted(SchedulerEvent.DirectCommandCompleted result) {
        Sent command = sent.remove(result.commandId());
        Machine machine = state.machines().get(result.host());
        if (machine == null || command == null) {
            return;
        }
        List<TaskAttempt> starts = command.starts;
        if (machine.commandInFlight == result.commandId()) {
            machine.commandInFlight = 0;
            machine.markPendingCommands();
        }
        starts.removeIf(attempt -> attempt.job.attempt(attempt.index) != attempt);
        if (result.heartbeat() != null
                && heartbeats.hasSeenLaterTerm(machine, result.heartbeat())) {
            return;
        }
        if (result.status() == 200 && result.heartbeat() != null) {
            for (TaskAttempt attempt : starts) {
                attempt.onConfirmed();
            }
            heartbeats.apply(machine, result.heartbeat(), command.sentMicros);
        } else if (result.status() == 409 || result.status() == NOT_SENT) {
            // Nothing was executed: the launches can go again as they are.
            starts.forEach(this::returnToReady);
            if (result.heartbeat() != null) {
                heartbeats.apply(machine, result.heartbeat(), command.sentMicros);
                if (!machine.liveness.hasAcknowledgedToken()) {
                    // It was asked under another session's number, which is known now.
                    machine.requestToken();
                }
            }
            machine.directRetryAtMicros =
                    state.nowMicros() + (result.status() == 409 ? 100_000 : PAUSE_MICROS);
        } else {
            onNoAnswer(machine, starts);
        }
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
     * The launches may be executed minutes late; a raised token makes the worker refuse them from
     * then on.
     */
    private void onNoAnswer(Machine machine, List<TaskAttempt> starts) {
        machine.directRetryAtMicros =
                state.nowMicros()
                        + (machine.liveness.isUnreachable(state.nowMicros())
                                ? state.settings().leaseMicros() / 2
                                : PAUSE_MICROS);
        for (TaskAttempt attempt : starts) {
            if (attempt.stage() == Stage.SENT) {
                attempt.onStartUnanswered();
            }
        }
        if (!starts.isEmpty()) {
            machine.liveness.raiseFence();
            machine.requestToken();
            state.log(
                    LogEntry.info(LogEvent.DIRECT_COMMAND_UNANSWERED)
                            .with("machine", machine.host)
                            .with("starts", starts.size()));
        }
        for (TaskAttempt attempt : machine.attempts()) {
            attempt.requireStopAgain();
        }
    }
}
