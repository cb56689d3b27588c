package org.woadloom.node;

import org.woadloom.net.EventLoop;
import org.woadloom.store.JobRecord;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/** Follows the stored jobs while this node leads, for what other nodes write there. */
final class JobWatcher {
    private static final long RETRY_MICROS = 300_000;

    /** Short, as a lost answer hides cancellations until the watch is opened anew. */
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

    /** Every cancellation that was made before this moment has been read. */
    long cancellationsReadUpToMicros() {
        return cancellationsReadUpToMicros;
    }

    /** All jobs have been listed by a request that was sent at this time. */
    void onJobsListed(long requestedMicros) {
        cancellationsReadUpToMicros = requestedMicros;
    }

    /** Reports all changes after the revision until the term ends. */
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
        // What this leader wrote itself, and what it deleted, it knows already.
        if (event.value() != null && !JobRecord.isWrittenInTerm(term.number(), event.value())) {
            queue.add(jobRecords.toEvent(event.key(), event.value(), event.revision()));
        }
    }

    /** The store no longer has the revision to continue from: everything is read anew. */
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
