package org.woadloom.reads;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.invariant.Invariants;
import org.woadloom.invariant.Invariants.Invariant;
import org.woadloom.net.EventLoop;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.Event;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Reads the records of all open jobs page by page, in key order, after changes were missed. Queries
 * for jobs whose page has not been read yet wait for it until their deadline: one request returns
 * hundreds of jobs, while reading them individually would take minutes.
 */
final class RecentJobsRefill {
    private static final Logger LOG = LoggerFactory.getLogger(RecentJobsRefill.class);
    private static final long RETRY_MICROS = 200_000;

    /** Receives the records that are read. */
    interface RecordListener {
        /**
         * Called for each record that was read.
         *
         * @param latestChange the latest change of the job seen since the page was requested, or
         *     null; the record may be older than the change
         */
        void onRecord(String jobId, Entry entry, Event latestChange);
    }

    /**
     * A query that waits for the page containing its job.
     *
     * @param onRead run when the page has been read
     * @param onExpired run if the page has not been read by the deadline
     */
    private record WaitingQuery(long deadlineMicros, Runnable onRead, Runnable onExpired)
            implements WaitingQueries.Query {
        @Override
        public void expire() {
            onExpired.run();
        }
    }

    /** One pass over all pages. */
    private static final class Pass {
        private final long startMicros;
        private int pages;
        private int jobs;

        /** Last key that was read, null before the first page. */
        private String lastKey;

        /** Latest change of each job since the page in flight was requested. */
        private final Map<String, Event> changes = new HashMap<>();

        Pass(long startMicros) {
            this.startMicros = startMicros;
        }
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final RecordListener recordListener;
    private final WaitingQueries<WaitingQuery> waitingQueries;

    /** The current pass, or null. */
    private Pass pass;

    RecentJobsRefill(EventLoop loop, StoreClient store, RecordListener recordListener) {
        this.loop = loop;
        this.store = store;
        this.recordListener = recordListener;
        waitingQueries = new WaitingQueries<>(loop);
    }

    /** Starts a pass at the first page. Queries that are already waiting keep waiting. */
    void start() {
        pass = new Pass(loop.nowMicros());
        readPage(pass);
    }

    /**
     * Aborts the current pass because changes were missed. Waiting queries wait for the next pass.
     */
    void stop() {
        pass = null;
    }

    /** Returns true if the page containing the job has not been read yet. */
    boolean isPagePending(String jobId) {
        return pass != null
                && (pass.lastKey == null || StoreKeys.job(jobId).compareTo(pass.lastKey) > 0);
    }

    /**
     * Runs {@code onRead} when the page containing the job has been read, or {@code onExpired} at
     * the deadline.
     */
    void awaitPage(String jobId, long deadlineMicros, Runnable onRead, Runnable onExpired) {
        waitingQueries.add(
                StoreKeys.job(jobId), new WaitingQuery(deadlineMicros, onRead, onExpired));
    }

    /** Records a change that a round has read. */
    void onChange(String jobId, Event change) {
        if (pass != null) {
            pass.changes.merge(jobId, change, RecentJobsRefill::laterOf);
        }
    }

    private static Event laterOf(Event one, Event other) {
        return one.revision() >= other.revision() ? one : other;
    }

    private void readPage(Pass current) {
        current.changes.clear();
        store.page(
                RequestPriority.SHARED_READ,
                StoreKeys.JOB_PREFIX,
                current.lastKey,
                (result, entries, hasMore) -> {
                    if (current == pass) {
                        onPage(current, result, entries, hasMore);
                    }
                });
    }

    private void onPage(Pass current, Result result, List<Entry> entries, boolean hasMore) {
        if (result != Result.OK) {
            loop.schedule(RETRY_MICROS, () -> retry(current));
            return;
        }
        if (!Invariants.holds(
                isAfterLastKey(current, entries), Invariant.LIST_PAGES_ADVANCE, current.lastKey)) {
            loop.schedule(RETRY_MICROS, () -> retry(current));
            return;
        }
        current.pages++;
        current.jobs += entries.size();
        for (Entry entry : entries) {
            String jobId = entry.key().substring(StoreKeys.JOB_PREFIX.length());
            recordListener.onRecord(jobId, entry, current.changes.get(jobId));
            current.lastKey = entry.key();
        }
        if (hasMore && !entries.isEmpty()) {
            readPage(current);
            release(waitingQueries.removeUpTo(current.lastKey));
        } else {
            pass = null;
            logCompleted(current);
            release(waitingQueries.removeAll());
        }
    }

    private static boolean isAfterLastKey(Pass current, List<Entry> entries) {
        return entries.isEmpty()
                || current.lastKey == null
                || entries.get(0).key().compareTo(current.lastKey) > 0;
    }

    private void retry(Pass current) {
        if (current == pass) {
            readPage(current);
        }
    }

    private void logCompleted(Pass completed) {
        LOG.info(
                "event=status_cache_refilled jobs={} pages={} took_ms={} waiting_jobs={}",
                completed.jobs,
                completed.pages,
                (loop.nowMicros() - completed.startMicros) / 1_000,
                waitingQueries.keyCount());
    }

    private static void release(List<WaitingQuery> queries) {
        queries.forEach(query -> query.onRead.run());
    }
}
