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

/** What the core wants done. Outcomes come back as commands. */
public sealed interface SchedulerAction {
    record AnswerHeartbeat(long requestId, long fencingToken, List<TaskCommand> commands)
            implements SchedulerAction {}

    /**
     * Tell whoever sent a report that it is not taken: nobody waits for its answer, and none may
     * renew a lease.
     */
    record RejectHeartbeat(long requestId) implements SchedulerAction {}

    record SendDirectCommand(
            long commandId,
            String host,
            String address,
            long fencingToken,
            long incarnation,
            List<TaskCommand> commands)
            implements SchedulerAction {}

    /** Write the job's record on condition that its stamp is still {@code stamp}. */
    record WriteJob(JobRecord record, long revision, boolean urgent) implements SchedulerAction {}

    /** Replace the job's record by its final state, on the same condition. */
    record WriteFinalState(FinalRecord record, long revision, long version)
            implements SchedulerAction {}

    record ReadJob(String jobId) implements SchedulerAction {}

    /** Say what the store knows of a job that others wait for: its record, or its final state. */
    record ResolveDependency(String jobId) implements SchedulerAction {}

    record WriteMachine(MachineRecord record, long revision) implements SchedulerAction {}

    record DeleteMachineRecord(String host, long revision) implements SchedulerAction {}

    record ReadMachine(String host) implements SchedulerAction {}

    record RentMachines(
            String requestName, String machineType, String zone, boolean spot, int count)
            implements SchedulerAction {}

    record DeleteMachines(List<String> hosts) implements SchedulerAction {}

    /** Answer a node that told how it stands. */
    record DelegateLeases(String node, LeaseDelegation delegation) implements SchedulerAction {}

    /** The core has seen proof that another node leads. */
    record StepDown(String reason) implements SchedulerAction {}

    /**
     * Write how far the features are, if all these keys still have these stamps.
     *
     * @param agreed what versions 2 and 3 are to learn with it, 0 for nothing
     */
    record WriteRollout(RolloutRecord record, Map<String, Long> conditions, long agreedVersion)
            implements SchedulerAction {}

    /**
     * Say which of the feature's records in the store are not of its form, or are of it where it is
     * taken back.
     */
    record CountRecords(Feature feature, boolean rollingBack) implements SchedulerAction {}

    /** Who is served, once a minute. */
    record PublishServiceLevels(List<ServiceLevelReport.Row> rows) implements SchedulerAction {}

    /** One line for the log. */
    record Log(LogEntry entry) implements SchedulerAction {}
}
