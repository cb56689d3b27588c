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

/**
 * What has happened. Everything that the scheduler knows of the world comes to it as one of these.
 */
public sealed interface SchedulerEvent {
    /** An event that matters whether this node leads or not. */
    sealed interface NodeEvent extends SchedulerEvent {
        /** Calls the handler's method for this kind of event. */
        void accept(NodeEventHandler handler);
    }

    /** An event that matters only to the leader; at any other time it is dropped. */
    sealed interface TermEvent extends SchedulerEvent {
        /** Calls the handler's method for this kind of event. */
        void accept(TermEventHandler handler);
    }

    /** A job's record as it was read from the store, with its revision. */
    record StoredJob(JobRecord record, long revision) {}

    /** A machine's record as it was read from the store, with its revision. */
    record StoredMachine(MachineRecord record, long revision) {}

    /**
     * This node has taken a term and has read every record.
     *
     * @param cancellationsReadUpToMicros the records tell of every cancellation that was made
     *     before this moment
     */
    record LeadershipAcquired(
            long term,
            List<StoredJob> jobs,
            List<StoredMachine> machines,
            long cancellationsReadUpToMicros)
            implements NodeEvent {
        @Override
        public void accept(NodeEventHandler handler) {
            handler.onLeadershipAcquired(this);
        }
    }

    /** This node no longer leads: all state of the term is dropped. */
    record LeadershipLost() implements NodeEvent {
        @Override
        public void accept(NodeEventHandler handler) {
            handler.onLeadershipLost(this);
        }
    }

    /** A job's record was written by a node that took a request of a user, or was read. */
    record JobStored(JobRecord record, long revision) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onJobStored(this);
        }
    }

    /**
     * A job's record was read and can't be decoded.
     *
     * @param knownCancelled whether it can still be told that the job is cancelled
     */
    record JobRecordDamaged(String jobId, long revision, boolean knownCancelled)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onJobRecordDamaged(this);
        }
    }

    /** The store holds these jobs as cancelled, and users may be told so. */
    record CancellationsConfirmed(List<String> jobIds) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onCancellationsConfirmed(this);
        }
    }

    /** A job's record was to be read, and the store holds none. */
    record JobRecordNotFound(String jobId) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onJobRecordNotFound(this);
        }
    }

    /** A job's record could not be read: the store did not answer. */
    record JobReadFailed(String jobId) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onJobReadFailed(this);
        }
    }

    /** What the store holds of a job that others depend on. */
    enum DependencyState {
        /** The job's record: it is not over. */
        OPEN,
        /** A final state: the job is done. */
        DONE,
        /** A final state: the job was cancelled. */
        CANCELLED,
        /** Nothing. */
        NOT_FOUND,
        /** A value that can't be decoded, or no answer. */
        UNREADABLE
    }

    /**
     * The answer to {@link SchedulerAction.ResolveDependency}.
     *
     * @param endedWallMicros when the job ended, 0 where that is not known
     */
    record DependencyResolved(String jobId, DependencyState state, long endedWallMicros)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onDependencyResolved(this);
        }
    }

    /**
     * From now on the store takes this much, and records have this form.
     *
     * @param maxValueBytes the largest value that the store takes
     * @param delegationEnabled whether all nodes can renew leases of a partitioned zone
     * @param recordsMachineLifecycle whether records of machines say when these were rented and
     *     whether they ever reported
     */
    record StoreLimitsChanged(
            int maxValueBytes,
            RecordFormat recordFormat,
            double writesPerSecond,
            boolean delegationEnabled,
            boolean recordsMachineLifecycle)
            implements NodeEvent {
        @Override
        public void accept(NodeEventHandler handler) {
            handler.onStoreLimitsChanged(this);
        }
    }

    /**
     * A node, this one perhaps, has sent its status; answered by {@link
     * SchedulerAction.DelegateLeases}.
     *
     * @param cancellationsReadUpToMicros the scheduler has been given every cancellation that was
     *     made before this moment
     */
    record PeerStatusReceived(String node, PeerStatus status, long cancellationsReadUpToMicros)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onPeerStatus(this);
        }
    }

    /**
     * The answer to {@link SchedulerAction.ReadMachine}, which follows a write without a clear
     * outcome.
     *
     * @param record null where the store holds none
     */
    record MachineRecordRead(String host, MachineRecord record, long revision)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onMachineRecordRead(this);
        }
    }

    /** A machine's record could not be read: the store did not answer. */
    record MachineReadFailed(String host) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onMachineReadFailed(this);
        }
    }

    /**
     * An agent has sent a heartbeat; answered by {@link SchedulerAction.AnswerHeartbeat} or {@link
     * SchedulerAction.RejectHeartbeat} with the same id.
     */
    record HeartbeatReceived(long requestId, Heartbeat heartbeat) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onHeartbeat(this);
        }
    }

    /**
     * The outcome of a {@link SchedulerAction.SendDirectCommand}.
     *
     * @param status the status of the HTTP response, 0 for no response, -1 if nothing was sent
     * @param heartbeat what the agent answered, or null
     */
    record DirectCommandCompleted(long commandId, String host, int status, Heartbeat heartbeat)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onDirectCommandCompleted(this);
        }
    }

    /** What became of a write to the store. */
    enum WriteOutcome {
        /** It was executed. */
        WRITTEN,
        /** It was not executed, as a revision was another than its condition said. */
        CONFLICT,
        /** It may have been executed, or may still be. */
        UNKNOWN,
        /** It was not executed and never will be. */
        NOT_WRITTEN,
        /** It was not executed and never will be, as the value is larger than the store takes. */
        TOO_LARGE
    }

    /**
     * The outcome of a {@link SchedulerAction.WriteJob} or {@link SchedulerAction.WriteFinalState}.
     *
     * @param version the version of the job that was to be written
     * @param revision the record's new revision, if it was written
     */
    record JobWriteCompleted(String jobId, long version, WriteOutcome outcome, long revision)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onJobWriteCompleted(this);
        }
    }

    /**
     * The outcome of a {@link SchedulerAction.WriteMachine} or {@link
     * SchedulerAction.DeleteMachineRecord}.
     *
     * @param decommissioning what the record that was to be written says of that
     * @param deleted whether the record was to be deleted
     * @param revision the record's new revision, if it was written
     */
    record MachineWriteCompleted(
            String host,
            boolean decommissioning,
            boolean deleted,
            WriteOutcome outcome,
            long revision)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onMachineWriteCompleted(this);
        }
    }

    /** The cloud has said which machine types it offers. */
    record MachineTypesRead(List<MachineType> types) implements NodeEvent {
        @Override
        public void accept(NodeEventHandler handler) {
            handler.onMachineTypesRead(this);
        }
    }

    /** The cloud has listed its machines; the list lags behind. */
    record MachinesListed(List<ListedMachine> machines) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onMachinesListed(this);
        }
    }

    /** What became of a request for machines. */
    enum ScaleOutOutcome {
        /** The cloud has rented the machines. */
        RENTED,
        /** The cloud has no machine of the kind for now. */
        NO_CAPACITY,
        /** The cloud refused the request for another reason. */
        REFUSED,
        /** There was no answer: machines may have been rented. */
        UNKNOWN
    }

    /**
     * The outcome of a {@link SchedulerAction.RentMachines}.
     *
     * @param hosts the machines that were rented
     */
    record ScaleOutCompleted(String requestName, ScaleOutOutcome outcome, List<String> hosts)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onScaleOutCompleted(this);
        }
    }

    /** The outcome of a {@link SchedulerAction.DeleteMachines}. */
    record MachineDeletionCompleted(List<String> hosts, boolean succeeded) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onMachineDeletionCompleted(this);
        }
    }

    /** What a live process announces of itself, and the revision at which it was read. */
    record StoredAnnouncement(NodeAnnouncement announcement, long revision) {}

    /**
     * The state of the rollout as the store holds it.
     *
     * @param revision the revision of the record
     * @param announcements what live processes announce, by node
     * @param requests what operators ask for, by feature
     * @param unannouncedNodes nodes that sent something lately and announce nothing
     * @param agreedVersion the version that nodes of versions 2 and 3 have agreed on
     * @param agreedVersionRevision the revision of the agreed version
     * @param overloadSignals how many answers were refused and how many steps were late since this
     *     process started
     */
    record RolloutStateRead(
            RolloutRecord record,
            long revision,
            Map<String, StoredAnnouncement> announcements,
            Map<String, RolloutRequest> requests,
            Set<String> unannouncedNodes,
            long agreedVersion,
            long agreedVersionRevision,
            long overloadSignals)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onRolloutStateRead(this);
        }

        /** The same with another record, which was written at the given revision. */
        public RolloutStateRead withRecord(RolloutRecord newRecord, long newRevision) {
            return new RolloutStateRead(
                    newRecord,
                    newRevision,
                    announcements,
                    requests,
                    unannouncedNodes,
                    agreedVersion,
                    agreedVersionRevision,
                    overloadSignals);
        }
    }

    /**
     * The outcome of a {@link SchedulerAction.WriteRollout}.
     *
     * @param recordNumber the number of the record that was to be written
     * @param revision the record's new revision, if it was written
     */
    record RolloutWriteCompleted(long recordNumber, WriteOutcome outcome, long revision)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onRolloutWriteCompleted(this);
        }
    }

    /**
     * The outcome of a {@link SchedulerAction.CountRecords}.
     *
     * @param succeeded whether the store could be read
     * @param outdated the keys of the records that are to be rewritten
     * @param unreadable the keys of the records that can't be decoded
     */
    record RecordsCounted(
            Feature feature,
            boolean rollingBack,
            boolean succeeded,
            List<String> outdated,
            List<String> unreadable)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onRecordsCounted(this);
        }
    }

    /** Time has passed: what is due by now is done in the pass that ends the step. */
    record Tick() implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            // The event has no effect of its own.
        }
    }

    /** Handles the events that matter whether this node leads or not. */
    interface NodeEventHandler {
        /** Handles {@link LeadershipAcquired}. */
        void onLeadershipAcquired(LeadershipAcquired event);

        /** Handles {@link LeadershipLost}. */
        void onLeadershipLost(LeadershipLost event);

        /** Handles {@link StoreLimitsChanged}. */
        void onStoreLimitsChanged(StoreLimitsChanged event);

        /** Handles {@link MachineTypesRead}. */
        void onMachineTypesRead(MachineTypesRead event);
    }

    /** Handles the events that matter only to the leader. */
    interface TermEventHandler {
        /** Handles {@link JobStored}. */
        void onJobStored(JobStored event);

        /** Handles {@link JobRecordDamaged}. */
        void onJobRecordDamaged(JobRecordDamaged event);

        /** Handles {@link CancellationsConfirmed}. */
        void onCancellationsConfirmed(CancellationsConfirmed event);

        /** Handles {@link JobRecordNotFound}. */
        void onJobRecordNotFound(JobRecordNotFound event);

        /** Handles {@link JobReadFailed}. */
        void onJobReadFailed(JobReadFailed event);

        /** Handles {@link DependencyResolved}. */
        void onDependencyResolved(DependencyResolved event);

        /** Handles {@link PeerStatusReceived}. */
        void onPeerStatus(PeerStatusReceived event);

        /** Handles {@link MachineRecordRead}. */
        void onMachineRecordRead(MachineRecordRead event);

        /** Handles {@link MachineReadFailed}. */
        void onMachineReadFailed(MachineReadFailed event);

        /** Handles {@link HeartbeatReceived}. */
        void onHeartbeat(HeartbeatReceived event);

        /** Handles {@link DirectCommandCompleted}. */
        void onDirectCommandCompleted(DirectCommandCompleted event);

        /** Handles {@link JobWriteCompleted}. */
        void onJobWriteCompleted(JobWriteCompleted event);

        /** Handles {@link MachineWriteCompleted}. */
        void onMachineWriteCompleted(MachineWriteCompleted event);

        /** Handles {@link MachinesListed}. */
        void onMachinesListed(MachinesListed event);

        /** Handles {@link ScaleOutCompleted}. */
        void onScaleOutCompleted(ScaleOutCompleted event);

        /** Handles {@link MachineDeletionCompleted}. */
        void onMachineDeletionCompleted(MachineDeletionCompleted event);

        /** Handles {@link RolloutStateRead}. */
        void onRolloutStateRead(RolloutStateRead event);

        /** Handles {@link RolloutWriteCompleted}. */
        void onRolloutWriteCompleted(RolloutWriteCompleted event);

        /** Handles {@link RecordsCounted}. */
        void onRecordsCounted(RecordsCounted event);
    }
}
