package org.woadloom.node;

import org.woadloom.net.EventLoop;
import org.woadloom.store.JobRecord;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/** Watches the stored jobs while this node leads, for changes that other nodes make. */
final class JobWatcher {
    private static final long RETRY_MICROS = 300_000;

    /** Short, because a lost answer hides cancellations until the next watch request. */
    private static final long WATCH_TIMEOUT_MICROS = 4_000_000;

    private final EventLoop loop;
    private final StoreClient store;
    private final EventQueue queue;
    private final JobRecordReader jobRecords;
    private long cancellationsReadUpToMicros;

    JobWatcher(EventLoop loop, StoreClient store, EventQueue queue, JobRecordReader jobRecords) {
        this.loop = loop;
        this.store = store;
        this.queue = queue;
        this.jobRecords = jobRecords;
    }

    /** Every cancellation that was stored before this time has been read. */
    long cancellationsReadUpToMicros() {
        return cancellationsReadUpToMicros;
    }

    /** Called when all jobs have been listed by a request that was sent at this time. */
    void onJobsListed(long requestedMicros) {
        cancellationsReadUpToMicros = requestedMicros;
    }

    /** Adds an event for each change after the revision until the term ends. */
    void watch(LeadershipTerm term, long sinceRevision) {
        long requestedMicros = loop.nowMicros();
        store.watch(
                StoreKeys.JOB_PREFIX,
                sinceRevision,
                WATCH_TIMEOUT_MICROS,
                (result, events, storeRevision) -> {
                    if (!term.isActive()) {
                        return;
                    }
                    if (result == Result.OK) {
                        events.forEach(event -> onChange(term, event));
                        cancellationsReadUpToMicros = requestedMicros;
                        watch(term, Math.max(sinceRevision, storeRevision));
                    } else if (result == Result.NOT_FOUND) {
                        listAndWatch(term);
                    } else {
                        term.schedule(RETRY_MICROS, () -> watch(term, sinceRevision));
                    }
                });
    }

    private void onChange(LeadershipTerm term, StoreClient.Event event) {
        // The leader already knows its own writes and deletions.
        if (event.value() != null && !JobRecord.isWrittenInTerm(term.number(), event.value())) {
            queue.add(jobRecords.toEvent(event.key(), event.value(), event.revision()));
        }
    }

    /** Lists all jobs again, as the store no longer has the revision to continue the watch from. */
    private void listAndWatch(LeadershipTerm term) {
        store.list(
                RequestPriority.NORMAL,
                StoreKeys.JOB_PREFIX,
                (result, entries, storeRevision) -> {
                    if (!term.isActive()) {
                        return;
                    }
                    if (result != Result.OK) {
                        term.schedule(RETRY_MICROS, () -> listAndWatch(term));
                        return;
                    }
                    for (StoreClient.Entry entry : entries) {
                        queue.add(jobRecords.toEvent(entry.key(), entry.value(), entry.revision()));
                    }
                    watch(term, storeRevision);
                });
    }
}
