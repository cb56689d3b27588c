package org.woadloom.core.machines;

import java.util.List;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.jobs.TaskAttempt.Stage;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.core.liveness.MessageAge;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.store.MachineRecord;

/** Takes in the messages of agents, and answers their heartbeats. */
public final class HeartbeatHandler {
    private final SchedulerState state;
    private final MachineRegistry machines;
    private final TaskLossHandler taskLosses;
    private final ExitAcknowledgements acknowledgements = new ExitAcknowledgements();
    private final AttemptReconciler reconciler;
    private final HeartbeatCommands commands;

    public HeartbeatHandler(
            SchedulerState state, MachineRegistry machines, TaskLossHandler taskLosses) {
        this.state = state;
        this.machines = machines;
        this.taskLosses = taskLosses;
        TaskExitHandler exits = new TaskExitHandler(state, taskLosses, acknowledgements);
        reconciler = new AttemptReconciler(state, taskLosses, exits);
        commands = new HeartbeatCommands(state, acknowledgements);
    }

    /** Takes in a heartbeat that waits for an answer, and answers or rejects it. */
    public void onHeartbeat(SchedulerEvent.HeartbeatReceived event) {
        Heartbeat heartbeat = event.heartbeat();
        Machine machine = findOrCreateMachine(heartbeat);
        if (stepDownIfLaterTerm(machine, heartbeat)) {
            return;
        }
        if (!machine.liveness.recordHeartbeatArrival(heartbeat, state.nowMicros())) {
            // No agent waits for this answer; if one did, it would renew a lease that counts as
            // running out.
            state.emit(new SchedulerAction.RejectHeartbeat(event.requestId()));
            return;
        }
        machine.onLeaseRenewed();
        MessageAge age = apply(machine, heartbeat, AgentLiveness.NEVER);
        List<TaskCommand> answer =
                age == MessageAge.DUPLICATE ? List.of() : commands.commandsFor(machine, heartbeat);
        if (age == MessageAge.POSSIBLY_DELAYED) {
            machine.liveness.requireAcknowledgement();
        }
        if (age != MessageAge.DUPLICATE && !machine.liveness.hasAcknowledgedToken()) {
            machine.requestToken();
        }
        state.emit(
                new SchedulerAction.AnswerHeartbeat(
                        event.requestId(), machine.liveness.issueToken(state.nowMicros()), answer));
    }

    private Machine findOrCreateMachine(Heartbeat heartbeat) {
        return machines.findOrCreate(
                new MachineRecord(
                        heartbeat.host(),
                        heartbeat.machineType(),
                        heartbeat.zone(),
                        heartbeat.spot(),
                        false));
    }

    /**
     * True if the agent has seen a token of a later leader; this one then steps down. A higher
     * token of this term was issued to a machine of that name that has been forgotten since.
     */
    public boolean stepDownIfLaterTerm(Machine machine, Heartbeat heartbeat) {
        if (heartbeat.fencingToken() <= machine.liveness.fencingToken()) {
            return false;
        }
        if (heartbeat.fencingToken() >> AgentLiveness.FENCE_BITS == state.term()) {
            machine.liveness.advanceFencePast(heartbeat.fencingToken());
            return false;
        }
        state.emit(
                new SchedulerAction.StepDown(
                        "worker "
                                + heartbeat.host()
                                + " has seen token "
                                + heartbeat.fencingToken()));
        return true;
    }

    /**
     * Takes in a heartbeat, or the body of a direct command's answer, which has the same form.
     *
     * @param commandSentMicros when the direct command was sent, {@link AgentLiveness#NEVER} for a
     *     heartbeat, which alone shows that the agent has dealt with the answer to the one before
     */
    public MessageAge apply(Machine machine, Heartbeat heartbeat, long commandSentMicros) {
        MessageAge age =
                machine.isDeleted()
                        ? MessageAge.DUPLICATE
                        : machine.liveness.classify(
                                heartbeat, commandSentMicros, state.nowMicros());
        if (age == MessageAge.DUPLICATE) {
            return age;
        }
        boolean newIncarnation = updateLiveness(machine, heartbeat, age, commandSentMicros);
        machine.setAddress(heartbeat.address());
        if (heartbeat.spotNoticeMicros() >= 0 && age == MessageAge.FRESH) {
            onSpotNotice(machine, heartbeat.spotNoticeMicros());
        }
        if (newIncarnation) {
            onNewIncarnation(machine);
        }
        reconciler.reconcile(machine, heartbeat, commandSentMicros == AgentLiveness.NEVER);
        return age;
    }

    /** Returns true if the agent was restarted since the last message. */
    private boolean updateLiveness(
            Machine machine, Heartbeat heartbeat, MessageAge age, long commandSentMicros) {
        AgentLiveness liveness = machine.liveness;
        boolean newIncarnation =
                liveness.incarnation() > 0 && heartbeat.incarnation() > liveness.incarnation();
        boolean hadAcknowledgedTerm = machine.hasAcknowledgedTerm();
        boolean wasSuspect = liveness.isSuspect(state.nowMicros());
        boolean wasKnownAlive = machine.isKnownAlive();
        liveness.accept(heartbeat, age, commandSentMicros, state.nowMicros());
        if (!hadAcknowledgedTerm && machine.hasAcknowledgedTerm()) {
            state.requestPlacement();
            machine.onLeaseRenewed();
        }
        if (!wasKnownAlive && machine.isKnownAlive()) {
            onMachineUp(machine);
        }
        if (wasSuspect && !liveness.isSuspect(state.nowMicros())) {
            state.requestPlacement();
        }
        if (newIncarnation || !hadAcknowledgedTerm) {
            machine.markPendingCommands();
        }
        return newIncarnation;
    }

    private void onMachineUp(Machine machine) {
        machine.confirmExistence();
        machine.restartIdleTime();
        state.log(
                LogEntry.info(LogEvent.MACHINE_UP)
                        .with("machine", machine.host)
                        .with("zone", machine.zone));
    }

    private void onSpotNotice(Machine machine, long noticeMicros) {
        if (machine.spotTerminationMicros() < 0) {
            state.log(
                    LogEntry.info(LogEvent.SPOT_NOTICE)
                            .with("machine", machine.host)
                            .withSeconds("notice_s", noticeMicros));
        }
        machine.setSpotTermination(state.nowMicros() + noticeMicros);
    }

    private void onNewIncarnation(Machine machine) {
        // The new incarnation's lease runs from its start, which may be later than our last answer:
        // one that is first seen in the body of a direct command has not been answered at all.
        machine.onLeaseRenewed();
        for (TaskAttempt attempt : machine.snapshot()) {
            // An earlier leader may have started a recovered one in this incarnation, or may still:
            // what the message lists decides about it.
            if (!attempt.wasNeverSent() && attempt.stage() != Stage.RECOVERED) {
                taskLosses.onLost(attempt, "the worker's lease ended");
            }
        }
        // The last one may have ended because nothing reaches the agent any more.
        machine.liveness.markSuspect(state.nowMicros());
    }

    /** Drops what is kept for machines that are no longer known. */
    public void dropForgottenMachines() {
        acknowledgements.retainMachines(state.machines().keySet());
    }
}
