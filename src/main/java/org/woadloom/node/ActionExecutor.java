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
 * Carries out the scheduler's actions in one term. Outcomes come back as events as long as the term
 * lasts.
 */
final class ActionExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(ActionExecutor.class);

    /** The parts of a leader that carry out actions; they outlast the term. */
    record Targets(
            PendingAnswers pendingAnswers,
            AgentClient agents,
            CloudClient cloud,
            RecordReads recordReads,
            RolloutActions rolloutActions,
            BiConsumer<String, LeaseDelegation> sendDelegation,
            Consumer<String> stepDown) {}

    private final LeadershipTerm term;
    private final EventQueue queue;
    private final RecordWriter writer;
    private final RecordWrites recordWrites;
    private final Targets targets;

    ActionExecutor(
            LeadershipTerm term,
            EventQueue queue,
            RecordWriter writer,
            RecordWrites recordWrites,
            Targets targets) {
        this.term = term;
        this.queue = queue;
        this.writer = writer;
        this.recordWrites = recordWrites;
        this.targets = targets;
    }

    void execute(SchedulerAction action) {
        if (action instanceof SchedulerAction.AnswerHeartbeat answer) {
            targets.pendingAnswers.answer(answer);
        } else if (action instanceof SchedulerAction.RejectHeartbeat rejection) {
            targets.pendingAnswers.reject(rejection.requestId());
        } else if (action instanceof SchedulerAction.SendDirectCommand command) {
            targets.agents.send(command, this::add);
        } else if (action instanceof SchedulerAction.WriteJob write) {
            recordWrites.writeJob(write);
        } else if (action instanceof SchedulerAction.WriteFinalState write) {
            recordWrites.writeFinalState(write);
        } else if (action instanceof SchedulerAction.ReadJob read) {
            targets.recordReads.readJob(term, read.jobId());
        } else if (action instanceof SchedulerAction.ResolveDependency dependency) {
            targets.recordReads.resolveDependency(term, dependency.jobId());
        } else if (action instanceof SchedulerAction.WriteMachine write) {
            recordWrites.writeMachine(write);
        } else if (action instanceof SchedulerAction.DeleteMachineRecord delete) {
            recordWrites.deleteMachine(delete);
        } else if (action instanceof SchedulerAction.ReadMachine read) {
            targets.recordReads.readMachine(term, read.host());
        } else if (action instanceof SchedulerAction.RentMachines rent) {
            rentMachines(rent);
        } else if (action instanceof SchedulerAction.DeleteMachines delete) {
            deleteMachines(delete);
        } else if (action instanceof SchedulerAction.WriteRollout write) {
            targets.rolloutActions.write(write, writer, this::add);
        } else if (action instanceof SchedulerAction.CountRecords count) {
            targets.rolloutActions.countRecords(count, this::add);
        } else if (action instanceof SchedulerAction.DelegateLeases delegate) {
            targets.sendDelegation.accept(delegate.node(), delegate.delegation());
        } else if (action instanceof SchedulerAction.StepDown stepDown) {
            targets.stepDown.accept(stepDown.reason());
        } else if (action instanceof SchedulerAction.Log log) {
            log(log.entry());
        }
    }

    /** Sends the writes that the executed actions have added. */
    void flush() {
        writer.flush();
    }

    private void add(SchedulerEvent event) {
        if (term.isActive()) {
            queue.add(event);
        }
    }

    private void rentMachines(SchedulerAction.RentMachines rent) {
        targets.cloud.rentMachines(
                rent,
                (outcome, hosts) ->
                        add(
                                new SchedulerEvent.ScaleOutCompleted(
                                        rent.requestName(), outcome, hosts)));
    }

    private void deleteMachines(SchedulerAction.DeleteMachines delete) {
        targets.cloud.deleteMachines(
                delete.hosts(),
                done -> add(new SchedulerEvent.MachineDeletionCompleted(delete.hosts(), done)));
    }

    private static void log(LogEntry entry) {
        switch (entry.level()) {
            case DEBUG -> LOG.debug("{}", entry);
            case INFO -> LOG.info("{}", entry);
        }
    }
}
