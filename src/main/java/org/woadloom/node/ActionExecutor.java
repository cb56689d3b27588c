package org.woadloom.node;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.agent.AgentClient;
import org.woadloom.cloud.CloudClient;
import org.woadloom.core.LogEntry;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.leader.RecordWriter;

/**
 * Carries out the scheduler's actions during one term. The outcomes of actions are added to the
 * event queue as long as the term lasts.
 */
final class ActionExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(ActionExecutor.class);

    /** The components that carry out actions. They are shared by all terms of this node. */
    record Handlers(
            PendingAnswers pendingAnswers,
            AgentClient agents,
            CloudClient cloud,
            ReadActions readActions,
            RolloutActions rolloutActions,
            BiConsumer<String, LeaseDelegation> sendDelegation,
            Consumer<String> stepDown) {}

    private final LeadershipTerm term;
    private final EventQueue queue;
    private final RecordWriter writer;
    private final WriteActions writeActions;
    private final Handlers handlers;

    ActionExecutor(
            LeadershipTerm term,
            EventQueue queue,
            RecordWriter writer,
            WriteActions writeActions,
            Handlers handlers) {
        this.term = term;
        this.queue = queue;
        this.writer = writer;
        this.writeActions = writeActions;
        this.handlers = handlers;
    }

    void execute(SchedulerAction action) {
        if (action instanceof SchedulerAction.AnswerHeartbeat answer) {
            handlers.pendingAnswers.answer(answer);
        } else if (action instanceof SchedulerAction.RejectHeartbeat rejection) {
            handlers.pendingAnswers.reject(rejection.requestId());
        } else if (action instanceof SchedulerAction.SendDirectCommand command) {
            handlers.agents.send(command, this::addIfActive);
        } else if (action instanceof SchedulerAction.WriteJob write) {
            writeActions.writeJob(write);
        } else if (action instanceof SchedulerAction.WriteFinalState write) {
            writeActions.writeFinalState(write);
        } else if (action instanceof SchedulerAction.ReadJob read) {
            handlers.readActions.readJob(term, read.jobId());
        } else if (action instanceof SchedulerAction.ResolveDependency dependency) {
            handlers.readActions.resolveDependency(term, dependency.jobId());
        } else if (action instanceof SchedulerAction.WriteMachine write) {
            writeActions.writeMachine(write);
        } else if (action instanceof SchedulerAction.DeleteMachineRecord delete) {
            writeActions.deleteMachine(delete);
        } else if (action instanceof SchedulerAction.ReadMachine read) {
            handlers.readActions.readMachine(term, read.host());
        } else if (action instanceof SchedulerAction.RentMachines rent) {
            rentMachines(rent);
        } else if (action instanceof SchedulerAction.DeleteMachines delete) {
            deleteMachines(delete);
        } else if (action instanceof SchedulerAction.WriteRollout write) {
            handlers.rolloutActions.write(write, writer, this::addIfActive);
        } else if (action instanceof SchedulerAction.CountRecords count) {
            handlers.rolloutActions.countRecords(count, this::addIfActive);
        } else if (action instanceof SchedulerAction.DelegateLeases delegate) {
            handlers.sendDelegation.accept(delegate.node(), delegate.delegation());
        } else if (action instanceof SchedulerAction.StepDown stepDown) {
            handlers.stepDown.accept(stepDown.reason());
        } else if (action instanceof SchedulerAction.Log log) {
            log(log.entry());
        }
    }

    /** Sends the writes that the executed actions have added. */
    void flush() {
        writer.flush();
    }

    private void addIfActive(SchedulerEvent event) {
        if (term.isActive()) {
            queue.add(event);
        }
    }

    private void rentMachines(SchedulerAction.RentMachines rent) {
        handlers.cloud.rentMachines(
                rent,
                (outcome, hosts) ->
                        addIfActive(
                                new SchedulerEvent.ScaleOutCompleted(
                                        rent.requestName(), outcome, hosts)));
    }

    private void deleteMachines(SchedulerAction.DeleteMachines delete) {
        handlers.cloud.deleteMachines(
                delete.hosts(),
                done ->
                        addIfActive(
                                new SchedulerEvent.MachineDeletionCompleted(delete.hosts(), done)));
    }

    private static void log(LogEntry entry) {
        switch (entry.level()) {
            case DEBUG -> LOG.debug("{}", entry);
            case INFO -> LOG.info("{}", entry);
        }
    }
}
