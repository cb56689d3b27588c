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

/** Applies the messages of agents to the scheduler's state, and answers heartbeats. */
public final class HeartbeatHandler {
    private final SchedulerState state;
    private final MachineRegistry machines;
    private final TaskLossHandler taskLosses;
    private final ExitAcknowledgements acknowledgements;
    private final AttemptReconciler reconciler;
    private final HeartbeatCommands commands;

    public HeartbeatHandler(
            SchedulerState state, MachineRegistry machines, TaskLossHandler taskLosses) {
        this.state = state;
        this.machines = machines;
        this.taskLosses = taskLosses;
        acknowledgements = new ExitAcknowledgements(state);
        TaskExitHandler exits = new TaskExitHandler(state, taskLosses, acknowledgements);
        reconciler = new AttemptReconciler(state, taskLosses, exits);
        commands = new HeartbeatCommands(state, acknowledgements);
    }

    /** Applies a heartbeat and answers it, or rejects it. */
    public void onHeartbeat(SchedulerEvent.HeartbeatReceived event) {
        Heartbeat heartbeat = event.heartbeat();
        Machine machine = findOrCreateMachine(heartbeat);
        if (stepDownIfLaterTerm(machine, heartbeat)) {
            return;
        }
        if (!machine.liveness.recordHeartbeatArrival(heartbeat, state.nowMicros())) {
            // The agent has given up waiting for this answer. If it still got it, the answer would
            // renew a lease that this leader expects to expire.
            state.emit(new SchedulerAction.RejectHeartbeat(event.requestId()));
            return;
        }
        machine.onLeaseRenewed();
        MessageAge age = apply(machine, heartbeat, AgentLiveness.NEVER);
        if (age == MessageAge.DUPLICATE) {
            answer(event, machine, List.of());
            return;
        }
        requestOutstandingToken(machine, age);
        answer(event, machine, commands.commandsFor(machine, heartbeat));
    }

    /** A token that only the answer raises is no reason to send it in a command of its own. */
    private static void requestOutstandingToken(Machine machine, MessageAge age) {
        if (age == MessageAge.POSSIBLY_DELAYED) {
            machine.liveness.requireAcknowledgement();
        }
        if (!machine.liveness.hasAcknowledgedToken()) {
            machine.requestToken();
        }
    }

    private void answer(
            SchedulerEvent.HeartbeatReceived event, Machine machine, List<TaskCommand> answer) {
        long token = machine.liveness.issueToken(state.nowMicros());
        state.emit(
                new SchedulerAction.AnswerHeartbeat(
                        event.requestId(),
                        token,
                        acknowledgements.checked(machine, answer, token)));
    }

    /** Acknowledgements of exits sent in this term. */
    public long acknowledgedExitCount() {
        return acknowledgements.acknowledgedCount();
    }

    /** How often in this term an exit waited for a direct command to complete. */
    public long heldExitCount() {
        return acknowledgements.heldCount();
    }

    /** How often in this term a fencing token was raised to acknowledge exits. */
    public long raisedTokenCount() {
        return acknowledgements.raisedTokenCount();
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
     * Makes this leader step down, and returns true, if the agent has seen a fencing token of a
     * later term. A higher token of the current term was issued to a machine of the same name that
     * has been forgotten since; such tokens are not issued again.
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
                        "agent on "
                                + heartbeat.host()
                                + " has seen fencing token "
                                + heartbeat.fencingToken()
                                + " of a later term"));
        return true;
    }

    /**
     * Applies a heartbeat, or the body of an answer to a direct command, which has the same form.
     *
     * @param commandSentMicros when the answered direct command was sent, or {@link
     *     AgentLiveness#NEVER} for a heartbeat; only a heartbeat proves that the agent has
     *     processed the answer to its previous one
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

    /** Returns true if this is the first message of a new incarnation of the agent. */
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
        // The new incarnation's lease runs from its start, which may be later than our last answer.
        // An incarnation that first shows up in the answer to a direct command has not had a
        // heartbeat answered.
        machine.onLeaseRenewed();
        for (TaskAttempt attempt : machine.snapshot()) {
            // An earlier leader may have started a recovered attempt in this incarnation, or may
            // still do so. Whether the message lists it decides.
            if (!attempt.wasNeverSent() && attempt.stage() != Stage.RECOVERED) {
                taskLosses.onLost(attempt, "agent has a new incarnation");
            }
        }
        // The previous incarnation may have ended because nothing reaches the agent any more.
        machine.liveness.markSuspect(state.nowMicros());
    }

    /** Drops the state of machines that the scheduler has forgotten. */
    public void dropForgottenMachines() {
        acknowledgements.retainMachines(state.machines().keySet());
    }
}
