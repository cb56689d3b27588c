package org.woadloom.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Loads the machine and job records for a new leader. The agreed version is read first, because the
 * record format must be known before the first write. Each step is retried until it succeeds or the
 * term ends. Records that can't be parsed are logged and skipped.
 */
final class StateLoader {
    private static final long RETRY_MICROS = 300_000;

    /**
     * The stored state.
     *
     * @param storeRevision the store's revision when the jobs were read
     * @param jobsRequestedMicros when the request for the jobs was sent; the list includes all
     *     earlier changes
     */
    record StoredState(
            List<SchedulerEvent.StoredMachine> machines,
            List<SchedulerEvent.StoredJob> jobs,
            long storeRevision,
            long jobsRequestedMicros) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final RolloutParticipant rollout;
    private final JobRecordReader jobRecords;

    StateLoader(
            EventLoop loop,
            StoreClient store,
            RolloutParticipant rollout,
            JobRecordReader jobRecords) {
        this.loop = loop;
        this.store = store;
        this.rollout = rollout;
        this.jobRecords = jobRecords;
    }

    void load(LeadershipTerm term, Consumer<StoredState> onLoaded) {
        rollout.readAgreedVersion(
                RequestPriority.URGENT,
                isKnown -> {
                    if (!term.isActive()) {
                        return;
                    }
                    if (isKnown) {
                        loadMachines(term, onLoaded);
                    } else {
                        term.schedule(RETRY_MICROS, () -> load(term, onLoaded));
                    }
                });
    }

    private void loadMachines(LeadershipTerm term, Consumer<StoredState> onLoaded) {
        store.list(
                RequestPriority.URGENT,
                StoreKeys.MACHINE_PREFIX,
                (result, entries, storeRevision) -> {
                    if (!term.isActive()) {
                        return;
                    }
                    if (result != Result.OK) {
                        term.schedule(RETRY_MICROS, () -> loadMachines(term, onLoaded));
                        return;
                    }
                    loadJobs(term, parseMachines(entries), onLoaded);
                });
    }

    private void loadJobs(
            LeadershipTerm term,
            List<SchedulerEvent.StoredMachine> machines,
            Consumer<StoredState> onLoaded) {
        long requestedMicros = loop.nowMicros();
        store.list(
                RequestPriority.URGENT,
                StoreKeys.JOB_PREFIX,
                (result, entries, storeRevision) -> {
                    if (!term.isActive()) {
                        return;
                    }
                    if (result != Result.OK) {
                        term.schedule(RETRY_MICROS, () -> loadJobs(term, machines, onLoaded));
                        return;
                    }
                    onLoaded.accept(
                            new StoredState(
                                    machines, parseJobs(entries), storeRevision, requestedMicros));
                });
    }

    private static List<SchedulerEvent.StoredMachine> parseMachines(
            List<StoreClient.Entry> entries) {
        List<SchedulerEvent.StoredMachine> machines = new ArrayList<>();
        for (StoreClient.Entry entry : entries) {
            try {
                String host = entry.key().substring(StoreKeys.MACHINE_PREFIX.length());
                MachineRecord record = MachineRecord.parse(host, entry.value());
                machines.add(new SchedulerEvent.StoredMachine(record, entry.revision()));
            } catch (MalformedMessageException e) {
                UnreadableRecords.log(entry.key(), e);
            }
        }
        return machines;
    }

    private List<SchedulerEvent.StoredJob> parseJobs(List<StoreClient.Entry> entries) {
        List<SchedulerEvent.StoredJob> jobs = new ArrayList<>();
        for (StoreClient.Entry entry : entries) {
            try {
                jobs.add(
                        new SchedulerEvent.StoredJob(
                                jobRecords.parse(entry.value()), entry.revision()));
            } catch (MalformedMessageException e) {
                UnreadableRecords.log(entry.key(), e);
            }
        }
        return jobs;
    }
}
