package org.woadloom.node;

import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.leader.RecordWriter;
import org.woadloom.protocol.Cbor;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreKeys;
import org.woadloom.store.StoreLimits;

/** Carries out the scheduler's writes of job and machine records during one term. */
final class WriteActions {
    private final LeadershipTerm term;
    private final RecordWriter writer;
    private final RolloutParticipant rollout;
    private final StoreLimits limits;
    private final SchedulerStatusFeed statusFeed;
    private final EventQueue queue;

    WriteActions(
            LeadershipTerm term,
            RecordWriter writer,
            RolloutParticipant rollout,
            StoreLimits limits,
            SchedulerStatusFeed statusFeed,
            EventQueue queue) {
        this.term = term;
        this.writer = writer;
        this.rollout = rollout;
        this.limits = limits;
        this.statusFeed = statusFeed;
        this.queue = queue;
    }

    void writeJob(SchedulerAction.WriteJob action) {
        String jobId = action.record().description().jobId();
        Map<String, Object> value = action.record().toMap(rollout.format());
        RecordWriter.WriteCallback callback = onJobWritten(jobId, action.record().writeSequence());
        if (Cbor.maxJsonSize(value) > limits.maxAcceptedValueBytes()) {
            callback.onWritten(SchedulerEvent.WriteOutcome.TOO_LARGE, 0);
        } else {
            writer.add(
                    action.urgent(),
                    RecordWriter.conditionalPut(
                            StoreKeys.job(jobId), value, action.revision(), callback));
        }
    }

    /** Replaces a job record by the job's final state in one transaction. */
    void writeFinalState(SchedulerAction.WriteFinalState action) {
        String jobId = action.record().jobId();
        Map<String, Object> value = action.record().toMap(rollout.format());
        writer.add(
                true,
                new RecordWriter.Write(
                        List.of(new Condition(StoreKeys.job(jobId), action.revision())),
                        List.of(
                                Change.put(StoreKeys.finalState(jobId), value),
                                Change.delete(StoreKeys.job(jobId))),
                        onJobWritten(jobId, action.version())));
    }

    void writeMachine(SchedulerAction.WriteMachine action) {
        String host = action.record().host();
        writer.add(
                true,
                RecordWriter.conditionalPut(
                        StoreKeys.machine(host),
                        action.record().toMap(),
                        action.revision(),
                        onMachineWritten(host, action.record().decommissioning(), false)));
    }

    void deleteMachine(SchedulerAction.DeleteMachineRecord action) {
        String key = StoreKeys.machine(action.host());
        writer.add(
                false,
                new RecordWriter.Write(
                        List.of(new Condition(key, action.revision())),
                        List.of(Change.delete(key)),
                        onMachineWritten(action.host(), true, true)));
    }

    private RecordWriter.WriteCallback onJobWritten(String jobId, long version) {
        return (outcome, revision) -> {
            if (!term.isActive()) {
                return;
            }
            if (outcome == SchedulerEvent.WriteOutcome.TOO_LARGE) {
                // The store's refusal may have lowered the known limit.
                statusFeed.sendStoreLimits();
            }
            queue.add(new SchedulerEvent.JobWriteCompleted(jobId, version, outcome, revision));
        };
    }

    private RecordWriter.WriteCallback onMachineWritten(
            String host, boolean decommissioning, boolean deleted) {
        return (outcome, revision) -> {
            if (term.isActive()) {
                queue.add(
                        new SchedulerEvent.MachineWriteCompleted(
                                host, decommissioning, deleted, outcome, revision));
            }
        };
    }
}
