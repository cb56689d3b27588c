package org.woadloom.core;

import java.util.List;
import java.util.Map;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.rollout.Feature;
import org.woadloom.core.slo.ServiceLevelReport;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.RolloutRecord;

/**
 * An output of the scheduler, which the node executes. Where the scheduler needs the outcome, it
 * gets it as the {@link SchedulerEvent} that the action's comment names.
 */
public sealed interface SchedulerAction {
    /**
     * Answer the heartbeat of this request, which renews the agent's lease.
     *
     * @param fencingToken the agent must from now on refuse commands with a lower token
     */
    record AnswerHeartbeat(long requestId, long fencingToken, List<TaskCommand> commands)
            implements SchedulerAction {}

    /**
     * Reject a heartbeat: no lease is renewed, and the node that forwarded it must not wait for an
     * answer.
     */
    record RejectHeartbeat(long requestId) implements SchedulerAction {}

    /**
     * Send commands to an agent without waiting for its next heartbeat; answered by {@link
     * SchedulerEvent.DirectCommandCompleted}.
     *
     * @param incarnation identifies the agent process that the commands are for; any other process
     *     refuses them
     */
    record SendDirectCommand(
            long commandId,
            String host,
            String address,
            long fencingToken,
            long incarnation,
            List<TaskCommand> commands)
            implements SchedulerAction {}

    /**
     * Write a job's record if its revision in the store is still the given one; answered by {@link
     * SchedulerEvent.JobWriteCompleted} with the version in the record.
     *
     * @param urgent whether tasks can't start or stop until the record is written
     */
    record WriteJob(JobRecord record, long revision, boolean urgent) implements SchedulerAction {}

    /**
     * Replace a job's record by its final state if the record's revision is still the given one;
     * answered by {@link SchedulerEvent.JobWriteCompleted} with the given version.
     */
    record WriteFinalState(FinalRecord record, long revision, long version)
            implements SchedulerAction {}

    /**
     * Read a job's record; answered by {@link SchedulerEvent.JobStored}, {@link
     * SchedulerEvent.JobRecordDamaged}, {@link SchedulerEvent.JobRecordNotFound} or {@link
     * SchedulerEvent.JobReadFailed}.
     */
    record ReadJob(String jobId) implements SchedulerAction {}

    /**
     * Look up whether the store holds the record or the final state of a job that others depend on;
     * answered by {@link SchedulerEvent.DependencyResolved}.
     */
    record ResolveDependency(String jobId) implements SchedulerAction {}

    /**
     * Write a machine's record if its revision in the store is still the given one; answered by
     * {@link SchedulerEvent.MachineWriteCompleted}.
     */
    record WriteMachine(MachineRecord record, long revision) implements SchedulerAction {}

    /**
     * Delete a machine's record if its revision in the store is still the given one; answered by
     * {@link SchedulerEvent.MachineWriteCompleted}.
     */
    record DeleteMachineRecord(String host, long revision) implements SchedulerAction {}

    /**
     * Read a machine's record; answered by {@link SchedulerEvent.MachineRecordRead} or {@link
     * SchedulerEvent.MachineReadFailed}.
     */
    record ReadMachine(String host) implements SchedulerAction {}

    /**
     * Rent machines from the cloud; answered by {@link SchedulerEvent.ScaleOutCompleted}.
     *
     * @param requestName the idempotency key by which the cloud recognizes a repeated request
     */
    record RentMachines(
            String requestName, String machineType, String zone, boolean spot, int count)
            implements SchedulerAction {}

    /**
     * Have the cloud delete machines; answered by {@link SchedulerEvent.MachineDeletionCompleted}.
     */
    record DeleteMachines(List<String> hosts) implements SchedulerAction {}

    /**
     * Send a node permission to renew agents' leases on behalf of the leader, in answer to its
     * {@link SchedulerEvent.PeerStatusReceived}.
     */
    record DelegateLeases(String node, LeaseDelegation delegation) implements SchedulerAction {}

    /** Give up leadership, because an agent has acknowledged a fencing token of a later term. */
    record StepDown(String reason) implements SchedulerAction {}

    /**
     * Write the state of the feature rollouts; answered by {@link
     * SchedulerEvent.RolloutWriteCompleted}.
     *
     * @param expectedRevisions for each key, the revision that it must still have for the write to
     *     be executed
     * @param agreedVersion the agreed version to write for nodes of versions 2 and 3, which do not
     *     support feature rollouts; 0 to write none
     */
    record WriteRollout(
            RolloutRecord record, Map<String, Long> expectedRevisions, long agreedVersion)
            implements SchedulerAction {}

    /**
     * Find the stored records that must be rewritten for a feature: those not in the feature's
     * format or, while the feature is being rolled back, those in the feature's format. {@link
     * SchedulerEvent.RecordsCounted} returns the keys of these records.
     */
    record CountRecords(Feature feature, boolean rollingBack) implements SchedulerAction {}

    /** Publish how each team's jobs of each class are served; emitted once a minute. */
    record PublishServiceLevels(List<ServiceLevelReport.Row> rows) implements SchedulerAction {}

    /** Write one line to the log. */
    record Log(LogEntry entry) implements SchedulerAction {}
}
