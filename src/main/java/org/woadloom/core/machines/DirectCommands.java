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
    private static final int MAX_ORDERS = 400;
    private static final int NOT_SENT = -1;
    private static final long PAUSE_MICROS = 2_000_000;

    private final SchedulerState world;
    private final HeartbeatHandler reports;
    private final TaskLossHandler losses;
    private final Map<Long, Sent> sent = new HashMap<>();

    /** What went out with a command, and when. */
    private record Sent(List<TaskAttempt> launches, long atMicros) {}

    public DirectCommands(SchedulerState world, HeartbeatHandler reports, TaskLossHandler losses) {
        this.world = world;
        this.reports = reports;
        this.losses = losses;
    }

    public void emitSends() {
        for (Machine machine : List.copyOf(world.attentive)) {
            if (machine.deleted) {
                world.attentive.remove(machine);
            } else if (machine.sendInFlight == 0
                    && !machine.addr.isEmpty()
                    && machine.directWorks(world.nowMicros)
                    && machine.hearing.incarnation() >= machine.hearing.leastTenure()) {
                send(machine);
            }
        }
    }

    private void send(Machine machine) {
        List<TaskCommand> commands = new ArrayList<>();
        List<TaskAttempt> launches = new ArrayList<>();
        boolean all = true;
        if (machine.acknowledged()) {
            for (TaskAttempt placement : machine.placements()) {
                if (commands.size() >= MAX_ORDERS) {
                    all = false;
                    break;
                }
                if (placement.stage == Stage.READY && !placement.halting()) {
                    commands.add(TaskCommand.start(placement.task(), placement.attempt));
                    launches.add(placement);
                } else if (placement.halting()
                        && !placement.neverSent()
                        && placement.haltSentMicros < 0) {
                    placement.haltSentMicros = world.nowMicros;
                    // Halts come first, so that the room they free is there for the launches.
                    commands.add(
                            0,
                            TaskCommand.stop(
                                    placement.task(), placement.attempt, placement.windDownS));
                }
            }
        }
        if (all) {
            world.attentive.remove(machine);
        }
        boolean greet = machine.takeGreeting();
        if (commands.isEmpty() && !greet) {
            return;
        }
        long id = world.newSend();
        machine.sendInFlight = id;
        for (TaskAttempt placement : launches) {
            placement.stage = Stage.SENT;
            placement.sentToken = machine.hearing.token();
        }
        sent.put(id, new Sent(launches, world.nowMicros));
        world.emit(
                new SchedulerAction.SendDirectCommand(
                        id,
                        machine.host,
                        machine.addr,
                        machine.hearing.issue(world.nowMicros),
                        machine.hearing.incarnation(),
                        commands));
    }

    public void result(SchedulerEvent.DirectCommandCompleted result) {
        Sent command = sent.remove(result.commandId());
        Machine machine = world.machines.get(result.host());
        if (machine == null || command == null) {
            return;
        }
        List<TaskAttempt> launches = command.launches;
        if (machine.sendInFlight == result.commandId()) {
            machine.sendInFlight = 0;
            machine.attend();
        }
        launches.removeIf(placement -> placement.job.placement(placement.index) != placement);
        if (result.heartbeat() != null && reports.laterTerm(machine, result.heartbeat())) {
            return;
        }
        if (result.status() == 200 && result.heartbeat() != null) {
            for (TaskAttempt placement : launches) {
                placement.stage = Stage.THERE;
            }
            reports.absorb(machine, result.heartbeat(), command.atMicros);
        } else if (result.status() == 409 || result.status() == NOT_SENT) {
            // Nothing was executed: the launches can go again as they are.
            launches.forEach(this::backToReady);
            if (result.heartbeat() != null) {
                reports.absorb(machine, result.heartbeat(), command.atMicros);
                if (!machine.hearing.heardToken()) {
                    // It was asked under another session's number, which is known now.
                    machine.greet();
                }
            }
            machine.directAgainMicros =
                    world.nowMicros + (result.status() == 409 ? 100_000 : PAUSE_MICROS);
        } else {
            unanswered(machine, launches);
        }
    }

    private void backToReady(TaskAttempt placement) {
        if (placement.stage != Stage.SENT) {
            return;
        }
        if (placement.halting()) {
            losses.gone(placement);
        } else {
            placement.ready();
        }
    }

    /**
     * The launches may be executed minutes late; a raised token makes the worker refuse them from
     * then on.
     */
    private void unanswered(Machine machine, List<TaskAttempt> launches) {
        machine.directAgainMicros =
                world.nowMicros
                        + (machine.hearing.deaf(world.nowMicros)
                                ? world.settings.leaseMicros() / 2
                                : PAUSE_MICROS);
        for (TaskAttempt placement : launches) {
            if (placement.stage == Stage.SENT) {
                placement.stage = Stage.UNANSWERED;
            }
        }
        if (!launches.isEmpty()) {
            machine.hearing.raiseFence();
            machine.greet();
            world.log(
                    LogEntry.info(LogEvent.DIRECT_COMMAND_UNANSWERED)
                            .with("machine", machine.host)
                            .with("starts", launches.size()));
        }
        for (TaskAttempt placement : machine.placements()) {
            placement.haltSentMicros = -1;
        }
    }
}
