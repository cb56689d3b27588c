package org.woadloom.core;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.core.rollout.Feature;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.ListedMachine;
import org.woadloom.protocol.MachineType;
import org.woadloom.store.JobRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRequest;

/** What happens to the core. Everything it knows of the world comes through here. */
public sealed interface SchedulerEvent {
    /** A record as read from the state service. */
    record StoredJob(JobRecord record, long revision) {}

    record StoredMachine(MachineRecord record, long revision) {}

    /**
     * This node has taken the term and has read every record.
     *
     * @param cancellationsSeenMicros the records tell of every cancellation that was made before
     *     this moment
     */
    record LeadershipAcquired(
            long term,
            List<StoredJob> jobs,
            List<StoredMachine> machines,
            long cancellationsReadUpToMicros)
            implements SchedulerEvent {}

    /** This node leads no more: everything is forgotten. */
    record LeadershipLost() implements SchedulerEvent {}

    /** A job's record was accepted, changed or read. */
    record JobStored(JobRecord record, long revision) implements SchedulerEvent {}

    /** A job's record was read and says nothing but, perhaps, that it is cancelled. */
    record JobRecordDamaged(String jobId, long revision, boolean cancelled)
            implements SchedulerEvent {}

    /** Somebody may be told that these jobs are cancelled, as the state service says. */
    record CancellationsConfirmed(List<String> jobIds) implements SchedulerEvent {}

    /** A job's record was looked for and is not there. */
    record JobRecordNotFound(String jobId) implements SchedulerEvent {}

    /** A job's record could not be read. */
    record JobReadFailed(String jobId) implements SchedulerEvent {}

    /** What the store says of a job that others wait for. */
    enum DependencyState {
        OPEN,
        DONE,
        CANCELLED,
        NOT_FOUND,
        UNREADABLE
    }

    /**
     * The answer to {@link SchedulerAction.ResolveDependency}, with the time at which the job was
     * over, 0 where that is not known.
     */
    record DependencyResolved(String jobId, DependencyState state, long endedWallMicros)
            implements SchedulerEvent {}

    /**
     * What the state service takes, and how records are written, from now on; and whether nodes
     * take care of workers.
     *
     * @param machineLife whether records of machines tell of their lives
     */
    record StoreLimitsChanged(
            int valueBytes,
            RecordFormat format,
            double writesPerSecond,
            boolean delegationEnabled,
            boolean recordsMachineLifecycle)
            implements SchedulerEvent {}

    /**
     * A node, this one perhaps, tells how it stands.
     *
     * @param cancellationsSeenMicros the core has been told of every cancellation that was made
     *     before this moment
     */
    record PeerStatusReceived(String node, PeerStatus status, long cancellationsReadUpToMicros)
            implements SchedulerEvent {}

    /**
     * A machine's record as read after a write without a clear outcome; null where there is none.
     */
    record MachineRecordRead(String host, MachineRecord record, long revision)
            implements SchedulerEvent {}

    record MachineReadFailed(String host) implements SchedulerEvent {}

    /**
     * A worker's report, to be answered by a {@link SchedulerAction.AnswerHeartbeat} with the same
     * id.
     */
    record HeartbeatReceived(long requestId, Heartbeat heartbeat) implements SchedulerEvent {}

    /** The outcome of a direct command: the HTTP status, 0 for no response, -1 for never sent. */
    record DirectCommandCompleted(long commandId, String host, int status, Heartbeat heartbeat)
            implements SchedulerEvent {}

    /**
     * What became of a write; one that is too large for the state service was not executed and
     * never will be.
     */
    enum WriteOutcome {
        WRITTEN,
        CONFLICT,
        UNKNOWN,
        NOT_WRITTEN,
        TOO_LARGE
    }

    record JobWriteCompleted(String jobId, long version, WriteOutcome outcome, long revision)
            implements SchedulerEvent {}

    record MachineWriteCompleted(
            String host,
            boolean decommissioning,
            boolean deleted,
            WriteOutcome outcome,
            long revision)
            implements SchedulerEvent {}

    record MachineTypesRead(List<MachineType> types) implements SchedulerEvent {}

    record MachinesListed(List<ListedMachine> machines) implements SchedulerEvent {}

    enum ScaleOutOutcome {
        RENTED,
        NO_CAPACITY,
        REFUSED,
        UNKNOWN
    }

    record ScaleOutCompleted(String requestName, ScaleOutOutcome outcome, List<String> hosts)
            implements SchedulerEvent {}

    record MachineDeletionCompleted(List<String> hosts, boolean succeeded)
            implements SchedulerEvent {}

    /** A live process's word, and the stamp under which it was read. */
    record StoredAnnouncement(NodeAnnouncement announcement, long revision) {}

    /**
     * The rollout as the store tells it.
     *
     * @param wordless nodes that were heard lately and give no word
     * @param agreed what versions 2 and 3 have agreed on
     * @param refused how many answers were refused and how many steps were late, since this process
     *     began
     */
    record RolloutStateRead(
            RolloutRecord record,
            long revision,
            Map<String, StoredAnnouncement> announcements,
            Map<String, RolloutRequest> requests,
            Set<String> unannounced,
            long agreed,
            long agreedStamp,
            long refusals)
            implements SchedulerEvent {
        public RolloutStateRead withRecord(RolloutRecord changed, long changedStamp) {
            return new RolloutStateRead(
                    changed,
                    changedStamp,
                    announcements,
                    requests,
                    unannounced,
                    agreed,
                    agreedStamp,
                    refusals);
        }
    }

    record RolloutWriteCompleted(long number, WriteOutcome outcome, long revision)
            implements SchedulerEvent {}

    /** What {@link SchedulerAction.CountRecords} found, if the store could be read. */
    record RecordsCounted(
            Feature feature,
            boolean rollingBack,
            boolean succeeded,
            List<String> outdated,
            List<String> unreadable)
            implements SchedulerEvent {}

    /** Time has passed. */
    record Tick() implements SchedulerEvent {}
}
