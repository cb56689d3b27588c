package org.woadloom.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerEvent.DependencyState;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Carries out the scheduler's reads of single records; the result of each is added to the event
 * queue.
 */
final class ReadActions {
    private static final Logger LOG = LoggerFactory.getLogger(ReadActions.class);

    private final StoreClient store;
    private final JobRecordReader jobRecords;
    private final EventQueue queue;

    ReadActions(StoreClient store, JobRecordReader jobRecords, EventQueue queue) {
        this.store = store;
        this.jobRecords = jobRecords;
        this.queue = queue;
    }

    void readJob(LeadershipTerm term, String jobId) {
        store.get(
                RequestPriority.URGENT,
                StoreKeys.job(jobId),
                (result, entry, storeRevision) -> {
                    if (!term.isActive()) {
                        return;
                    }
                    if (result == Result.OK) {
                        addJob(entry);
                    } else if (result == Result.NOT_FOUND) {
                        queue.add(new SchedulerEvent.JobRecordNotFound(jobId));
                    } else {
                        queue.add(new SchedulerEvent.JobReadFailed(jobId));
                    }
                });
    }

    /**
     * Determines the state of a job on which another job depends. The job record is read before the
     * final state, because a job moves from the one to the other in a single transaction.
     */
    void resolveDependency(LeadershipTerm term, String jobId) {
        store.get(
                RequestPriority.URGENT,
                StoreKeys.job(jobId),
                (result, entry, storeRevision) -> {
                    if (!term.isActive()) {
                        return;
                    }
                    if (result == Result.OK) {
                        addJob(entry);
                        queue.add(dependency(jobId, DependencyState.OPEN));
                    } else if (result == Result.NOT_FOUND) {
                        resolveByFinalState(term, jobId);
                    } else {
                        queue.add(dependency(jobId, DependencyState.UNREADABLE));
                    }
                });
    }

    void readMachine(LeadershipTerm term, String host) {
        store.get(
                RequestPriority.NORMAL,
                StoreKeys.machine(host),
                (result, entry, storeRevision) -> {
                    if (term.isActive()) {
                        queue.add(machineRead(host, result, entry));
                    }
                });
    }

    private void addJob(StoreClient.Entry entry) {
        queue.add(jobRecords.toEvent(entry.key(), entry.value(), entry.revision()));
    }

    private void resolveByFinalState(LeadershipTerm term, String jobId) {
        store.get(
                RequestPriority.URGENT,
                StoreKeys.finalState(jobId),
                (result, entry, storeRevision) -> {
                    if (term.isActive()) {
                        queue.add(finalDependency(jobId, result, entry));
                    }
                });
    }

    private static SchedulerEvent.DependencyResolved finalDependency(
            String jobId, Result result, StoreClient.Entry entry) {
        if (result == Result.NOT_FOUND) {
            LOG.error("event=dependency_not_found job={}", jobId);
            return dependency(jobId, DependencyState.NOT_FOUND);
        }
        if (result != Result.OK) {
            return dependency(jobId, DependencyState.UNREADABLE);
        }
        try {
            FinalRecord record = FinalRecord.parse(jobId, entry.value());
            DependencyState state =
                    record.cancelled() ? DependencyState.CANCELLED : DependencyState.DONE;
            return new SchedulerEvent.DependencyResolved(jobId, state, record.endedWallMicros());
        } catch (MalformedMessageException e) {
            UnreadableRecords.log(entry.key(), e);
            return dependency(jobId, DependencyState.UNREADABLE);
        }
    }

    private static SchedulerEvent.DependencyResolved dependency(
            String jobId, DependencyState state) {
        return new SchedulerEvent.DependencyResolved(jobId, state, 0);
    }

    private static SchedulerEvent machineRead(String host, Result result, StoreClient.Entry entry) {
        if (result == Result.NOT_FOUND) {
            return new SchedulerEvent.MachineRecordRead(host, null, 0);
        }
        if (result != Result.OK) {
            return new SchedulerEvent.MachineReadFailed(host);
        }
        try {
            MachineRecord record = MachineRecord.parse(host, entry.value());
            return new SchedulerEvent.MachineRecordRead(host, record, entry.revision());
        } catch (MalformedMessageException e) {
            return new SchedulerEvent.MachineReadFailed(host);
        }
    }
}
