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
 * What the scheduler wants done. Where the outcome matters to it, it comes back as the {@link
 * SchedulerEvent} that the action names.
 */
public sealed interface SchedulerAction {
    /**
     * Answer the heartbeat of this request, which renews the agent's lease.
     *
     * @param fencingToken the token that the agent is to require of commands from now on
     */
    record AnswerHeartbeat(long requestId, long fencingToken, List<TaskCommand> commands)
            implements SchedulerAction {}

    /**
     * Drop a heartbeat: whoever forwarded it must not wait for an answer, and no lease is renewed.
     */
    record RejectHeartbeat(long requestId) implements SchedulerAction {}

    /**
     * Send commands to an agent without waiting for its next heartbeat; answered by {@link
     * SchedulerEvent.DirectCommandCompleted}.
     *
     * @param incarnation the agent's process that the commands are for; another one refuses them
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
     * Write a job's record on condition that its revision in the store is still the given one;
     * answered by {@link SchedulerEvent.JobWriteCompleted} with the version in the record.
     *
     * @param urgent whether tasks can't start or stop before it is written
     */
    record WriteJob(JobRecord record, long revision, boolean urgent) implements SchedulerAction {}

    /**
     * Replace a job's record by its final state, on the same condition; answered by {@link
     * SchedulerEvent.JobWriteCompleted} with the given version.
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
     * Find out what the store holds of a job that others depend on, its record or its final state;
     * answered by {@link SchedulerEvent.DependencyResolved}.
     */
    record ResolveDependency(String jobId) implements SchedulerAction {}

    /**
     * Write a machine's record on condition that its revision in the store is still the given one;
     * answered by {@link SchedulerEvent.MachineWriteCompleted}.
     */
    record WriteMachine(MachineRecord record, long revision) implements SchedulerAction {}

    /**
     * Delete a machine's record, on the same condition; answered by {@link
     * SchedulerEvent.MachineWriteCompleted}.
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
     * @param requestName makes a repeated request the same one to the cloud
     */
    record RentMachines(
            String requestName, String machineType, String zone, boolean spot, int count)
            implements SchedulerAction {}

    /**
     * Give machines back to the cloud; answered by {@link SchedulerEvent.MachineDeletionCompleted}.
     */
    record DeleteMachines(List<String> hosts) implements SchedulerAction {}

    /** Send a node the delegation that answers its {@link SchedulerEvent.PeerStatusReceived}. */
    record DelegateLeases(String node, LeaseDelegation delegation) implements SchedulerAction {}

    /** Give up leadership: an agent has acknowledged a token of a later term. */
    record StepDown(String reason) implements SchedulerAction {}

    /**
     * Write how far the features are; answered by {@link SchedulerEvent.RolloutWriteCompleted}.
     *
     * @param expectedRevisions the revision that each of these keys must still have
     * @param agreedVersion the version that is written for nodes of versions 2 and 3, which know no
     *     rollouts; 0 for none
     */
    record WriteRollout(
            RolloutRecord record, Map<String, Long> expectedRevisions, long agreedVersion)
            implements SchedulerAction {}

    /**
     * Find the feature's records in the store that are not in its form, or that are where it is
     * rolled back; answered by {@link SchedulerEvent.RecordsCounted}.
     */
    record CountRecords(Feature feature, boolean rollingBack) implements SchedulerAction {}

    /** Publish, once a minute, how each team's jobs of each class are served. */
    record PublishServiceLevels(List<ServiceLevelReport.Row> rows) implements SchedulerAction {}

    /** Write one line to the log. */
    record Log(LogEntry entry) implements SchedulerAction {}
}
