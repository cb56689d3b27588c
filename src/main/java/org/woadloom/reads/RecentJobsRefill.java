package org.woadloom.reads;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
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
 * Reads the records of all open jobs page by page, in the order of their keys, after the changes
 * since the last read were missed. Queries for jobs whose page has not been read yet wait for it,
 * each until its user has left: hundreds of jobs come with one request, and read one by one they
 * would take minutes.
 */
final class RecentJobsRefill {
    private static final Logger LOG = LoggerFactory.getLogger(RecentJobsRefill.class);
    private static final long RETRY_MICROS = 200_000;
    private static final long EXPIRY_CHECK_MICROS = 100_000;

    /** Receives the records that were read. */
    interface Target {
        /**
         * A job's record was read.
         *
         * @param latestChange the latest change of the job that was seen since the page was asked
         *     for, or null: the record may be older
         */
        void onRecord(String jobId, Entry entry, Event latestChange);
    }

    /**
     * A query that waits for its job's page.
     *
     * @param onRead is run when the page has been read
     * @param onExpired is run if that has not happened by the deadline
     */
    private record WaitingQuery(long deadlineMicros, Runnable onRead, Runnable onExpired) {}

    /** One pass over all pages. */
    private static final class Pass {
        private final long startMicros;
        private int pages;
        private int jobs;

        /** The last key that was read, null before the first page. */
        private String lastKey;

        /** The latest change of each job since the page in flight was asked for. */
        private final Map<String, Event> changes = new HashMap<>();

        Pass(long startMicros) {
            this.startMicros = startMicros;
        }
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final Target target;
    private final TreeMap<String, List<WaitingQuery>> waiting = new TreeMap<>();
    private boolean expiryScheduled;

    /** Null while none is under way. */
    private Pass pass;

    RecentJobsRefill(EventLoop loop, StoreClient store, Target target) {
        this.loop = loop;
        this.store = store;
        this.target = target;
    }

    /** Starts from the first page; whoever waits goes on waiting. */
    void start() {
        pass = new Pass(loop.nowMicros());
        readPage(pass);
    }

    /** Drops what is under way, as changes were missed; whoever waits does so for the next pass. */
    void stop() {
        pass = null;
    }

    /** Whether the job's page is still to be read. */
    boolean isAwaited(String jobId) {
        return pass != null
                && (pass.lastKey == null || StoreKeys.job(jobId).compareTo(pass.lastKey) > 0);
    }

    /** Runs one of the two when the job's page has been read, or at the deadline. */
    void await(String jobId, long deadlineMicros, Runnable onRead, Runnable onExpired) {
        waiting.computeIfAbsent(StoreKeys.job(jobId), key -> new ArrayList<>())
                .add(new WaitingQuery(deadlineMicros, onRead, onExpired));
        scheduleExpiry();
    }

    /** Notes a change that a round has read. */
    void onChange(String jobId, Event change) {
        if (pass != null) {
            pass.changes.merge(jobId, change, RecentJobsRefill::later);
        }
    }

    private static Event later(Event one, Event other) {
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
                advances(current, entries), Invariant.LIST_PAGES_ADVANCE, current.lastKey)) {
            loop.schedule(RETRY_MICROS, () -> retry(current));
            return;
        }
        current.pages++;
        current.jobs += entries.size();
        for (Entry entry : entries) {
            String jobId = entry.key().substring(StoreKeys.JOB_PREFIX.length());
            target.onRecord(jobId, entry, current.changes.get(jobId));
            current.lastKey = entry.key();
        }
        if (hasMore && !entries.isEmpty()) {
            readPage(current);
            release(waiting.headMap(current.lastKey, true));
        } else {
            pass = null;
            logEnd(current);
            release(waiting);
        }
    }

    private static boolean advances(Pass current, List<Entry> entries) {
        return entries.isEmpty()
                || current.lastKey == null
                || entries.get(0).key().compareTo(current.lastKey) > 0;
    }

    private void retry(Pass current) {
        if (current == pass) {
            readPage(current);
        }
    }

    private void logEnd(Pass ended) {
        LOG.info(
                "event=status_cache_refilled jobs={} pages={} took_ms={} waiting_jobs={}",
                ended.jobs,
                ended.pages,
                (loop.nowMicros() - ended.startMicros) / 1_000,
                waiting.size());
    }

    private static void release(Map<String, List<WaitingQuery>> released) {
        List<List<WaitingQuery>> queries = List.copyOf(released.values());
        released.clear();
        queries.forEach(ofJob -> ofJob.forEach(query -> query.onRead.run()));
    }

    private void scheduleExpiry() {
        if (!expiryScheduled && !waiting.isEmpty()) {
            expiryScheduled = true;
            loop.schedule(
                    EXPIRY_CHECK_MICROS,
                    () -> {
                        expiryScheduled = false;
                        expire();
                        scheduleExpiry();
                    });
        }
    }

    private void expire() {
        long now = loop.nowMicros();
        List<WaitingQuery> expired = new ArrayList<>();
        for (List<WaitingQuery> queries : waiting.values()) {
            queries.removeIf(query -> now >= query.deadlineMicros && expired.add(query));
        }
        waiting.values().removeIf(List::isEmpty);
        expired.forEach(query -> query.onExpired.run());
    }
}
