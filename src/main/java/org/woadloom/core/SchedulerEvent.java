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

/** An input of the scheduler. Everything it learns from outside reaches it as one of these. */
public sealed interface SchedulerEvent {
    /** An event that applies whether or not this node is the leader. */
    sealed interface NodeEvent extends SchedulerEvent {
        /** Calls the handler's method for this kind of event. */
        void accept(NodeEventHandler handler);
    }

    /** An event that applies only to the leader; otherwise it is dropped. */
    sealed interface TermEvent extends SchedulerEvent {
        /** Calls the handler's method for this kind of event. */
        void accept(TermEventHandler handler);
    }

    /** A job's record as it was read from the store, with its revision. */
    record StoredJob(JobRecord record, long revision) {}

    /** A machine's record as it was read from the store, with its revision. */
    record StoredMachine(MachineRecord record, long revision) {}

    /**
     * This node has become the leader and has read every record.
     *
     * @param cancellationsReadUpToMicros the records contain every cancellation that was stored
     *     before this time
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

    /** This node is no longer the leader: all state of the term is dropped. */
    record LeadershipLost() implements NodeEvent {
        @Override
        public void accept(NodeEventHandler handler) {
            handler.onLeadershipLost(this);
        }
    }

    /** A job's record was written by a node that handled a user's request, or was read. */
    record JobStored(JobRecord record, long revision) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onJobStored(this);
        }
    }

    /**
     * A job's record was read and can't be decoded.
     *
     * @param knownCancelled whether the readable part of the record says that the job is cancelled
     */
    record JobRecordDamaged(String jobId, long revision, boolean knownCancelled)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onJobRecordDamaged(this);
        }
    }

    /** The cancellation of these jobs is stored and may be confirmed to users. */
    record CancellationsConfirmed(List<String> jobIds) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onCancellationsConfirmed(this);
        }
    }

    /** A job's record was to be read, but the store holds none. */
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
        /** The store holds the job's record, so the job has not ended. */
        OPEN,
        /** A final state: the job is done. */
        DONE,
        /** A final state: the job was cancelled. */
        CANCELLED,
        /** Nothing. */
        NOT_FOUND,
        /** Unknown: the value can't be decoded, or the store did not answer. */
        UNREADABLE
    }

    /**
     * The answer to {@link SchedulerAction.ResolveDependency}.
     *
     * @param endedWallMicros when the job ended; 0 if that is not known
     */
    record DependencyResolved(String jobId, DependencyState state, long endedWallMicros)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onDependencyResolved(this);
        }
    }

    /**
     * The limits of the store or the formats of the records have changed.
     *
     * @param maxValueBytes the largest value that the store accepts
     * @param recordFormat the format in which job records are written
     * @param writesPerSecond the rate of writes that the store sustains
     * @param delegationEnabled whether every node is able to renew agents' leases for the leader
     *     while a zone is partitioned
     * @param recordsMachineLifecycle whether machine records include when the machine was rented
     *     and whether it ever sent a heartbeat
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
     * A node, possibly this one, has sent its status; answered by {@link
     * SchedulerAction.DelegateLeases}.
     *
     * @param cancellationsReadUpToMicros the scheduler has received every cancellation that was
     *     stored before this time
     */
    record PeerStatusReceived(String node, PeerStatus status, long cancellationsReadUpToMicros)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onPeerStatus(this);
        }
    }

    /**
     * The answer to {@link SchedulerAction.ReadMachine}, which follows a write whose outcome is
     * unknown or a conflict.
     *
     * @param record null if the store holds none
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
     * @param heartbeat the agent's answer, or null
     */
    record DirectCommandCompleted(long commandId, String host, int status, Heartbeat heartbeat)
            implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onDirectCommandCompleted(this);
        }
    }

    /** The outcome of a write to the store. */
    enum WriteOutcome {
        /** It was executed. */
        WRITTEN,
        /** It was not executed, because a key did not have the expected revision. */
        CONFLICT,
        /** It may have been executed, or may still be executed. */
        UNKNOWN,
        /** It was not executed and never will be. */
        NOT_WRITTEN,
        /** It was not executed and never will be, because the value exceeds the store's limit. */
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
     * @param decommissioning whether the record that was to be written has the machine as
     *     decommissioning
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

    /** The cloud has listed the machine types that it offers. */
    record MachineTypesRead(List<MachineType> types) implements NodeEvent {
        @Override
        public void accept(NodeEventHandler handler) {
            handler.onMachineTypesRead(this);
        }
    }

    /** The cloud has listed its machines; the list may be out of date. */
    record MachinesListed(List<ListedMachine> machines) implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            handler.onMachinesListed(this);
        }
    }

    /** The outcome of a request for machines. */
    enum ScaleOutOutcome {
        /** The cloud has rented the machines. */
        RENTED,
        /** The cloud has no machine of the requested type at present. */
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

    /** The announcement of a live node process, and the revision at which it was read. */
    record StoredAnnouncement(NodeAnnouncement announcement, long revision) {}

    /**
     * The state of the feature rollouts in the store.
     *
     * @param revision the revision of the record
     * @param announcements the announcements of live node processes, by node
     * @param requests the operators' requests, by feature
     * @param unannouncedNodes nodes that sent messages recently but have no announcement
     * @param agreedVersion the version that nodes of versions 2 and 3 have agreed on
     * @param agreedVersionRevision the revision of the agreed version
     * @param overloadSignals how many answers were refused plus how many steps were late since this
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

        /** Returns a copy with another record, which was written at the given revision. */
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
     * @param recordNumber the sequence number of the record that was to be written
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
     * @param outdated the keys of the records that must be rewritten
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

    /** Time has passed: the pass at the end of the step does the work that is due. */
    record Tick() implements TermEvent {
        @Override
        public void accept(TermEventHandler handler) {
            // Nothing to do: the pass at the end of the step checks the time.
        }
    }

    /** Handles the events that apply whether or not this node is the leader. */
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

    /** Handles the events that apply only to the leader. */
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
