package org.woadloom.reads;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.Event;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreKeys;

/**
 * Cache of the open jobs, current as of the latest round of {@link CoalescingJobReader}, and the
 * reads of jobs that are not cached. Rounds apply changes to it. After a gap between rounds it has
 * to be cleared and refilled.
 */
final class RecentJobs {
    /**
     * Number of cached jobs: the 12,000 open jobs of 4,000 machines, all of which are polled at
     * every node, plus a margin.
     */
    private static final int MAX_CACHED = 16_000;

    /** A job as of the latest round. It is decoded on first use. */
    private static final class CachedJob {
        private Map<String, Object> unparsed;
        private long revision;
        private JobView view;

        CachedJob(long revision, JobView view) {
            this.revision = revision;
            this.view = view;
        }
    }

    /** A read by key that is in flight, on behalf of one or more queries. */
    private static final class PendingRead {
        private final List<Consumer<QueryResult>> callbacks = new ArrayList<>();

        /**
         * The latest change that rounds have read since the read started; the result of the read
         * may be older.
         */
        private Event latestChange;
    }

    private final JobReader reader;
    private final FinalStateReader finalStates;

    /** All open jobs, except those whose page the refill has not read yet or that were evicted. */
    private final Cache<String, CachedJob> cachedJobs =
            Caffeine.newBuilder().maximumSize(MAX_CACHED).executor(Runnable::run).build();

    private Map<String, PendingRead> pendingReads = new HashMap<>();
    private final RecentJobsRefill refill;

    RecentJobs(EventLoop loop, StoreClient store, JobReader reader) {
        this.reader = reader;
        finalStates = new FinalStateReader(loop, store, reader);
        refill = new RecentJobsRefill(loop, store, this::onRecord);
    }

    /**
     * Discards cached jobs and reads in flight, because changes were missed and none of them is
     * known to be current.
     */
    void clear() {
        cachedJobs.invalidateAll();
        pendingReads = new HashMap<>();
        refill.stop();
    }

    /** Reads all open jobs. Rounds must supply the changes from now on. */
    void refill() {
        refill.start();
    }

    private void onRecord(String jobId, Entry entry, Event latestChange) {
        boolean isOutdated = latestChange != null && latestChange.revision() > entry.revision();
        if (isOutdated && latestChange.value() == null) {
            return;
        }
        Map<String, Object> value = isOutdated ? latestChange.value() : entry.value();
        long revision = isOutdated ? latestChange.revision() : entry.revision();
        CachedJob known = cachedJobs.getIfPresent(jobId);
        if (known == null || known.revision < revision) {
            JobLookup lookup = reader.parse(jobId, value, revision);
            if (lookup != null) {
                cachedJobs.put(jobId, new CachedJob(revision, JobView.of(lookup)));
            }
        }
    }

    /**
     * Applies a change that a round has read.
     *
     * @param isLatest false if a later round has already been answered, so that the job may have
     *     changed again
     */
    void onChange(Event change, boolean isLatest) {
        String jobId = change.key().substring(StoreKeys.JOB_PREFIX.length());
        boolean isRemoved = change.value() == null;
        refill.onChange(jobId, change);
        CachedJob job = cachedJobs.getIfPresent(jobId);
        if (job == null && !isRemoved && isLatest && !pendingReads.containsKey(jobId)) {
            job = new CachedJob(0, null);
            cachedJobs.put(jobId, job);
        }
        if (job != null && change.revision() > job.revision) {
            if (isRemoved) {
                // The final state has to be read by key.
                cachedJobs.invalidate(jobId);
            } else {
                job.unparsed = change.value();
                job.revision = change.revision();
            }
        }
        PendingRead read = pendingReads.get(jobId);
        if (read != null
                && (read.latestChange == null
                        || change.revision() > read.latestChange.revision())) {
            read.latestChange = change;
        }
    }

    /**
     * Answers a query from the cache, from a refill page that is still to be read, or from a read
     * of the job.
     *
     * @param priority priority of the read by key
     * @param deadlineMicros time after which a read that has not been sent is no longer useful
     */
    void read(
            RequestPriority priority,
            String jobId,
            long deadlineMicros,
            Consumer<QueryResult> callback) {
        // Another request may have read the final state since the query arrived.
        JobLookup finalState = reader.cachedFinalState(jobId);
        JobView view = finalState != null ? JobView.of(finalState) : cachedView(jobId);
        if (view != null) {
            callback.accept(new QueryResult.Answered(view));
            return;
        }
        PendingRead read = pendingReads.get(jobId);
        if (read != null) {
            // A read in flight is current enough, because rounds supply the changes made since it
            // started.
            read.callbacks.add(callback);
            return;
        }
        if (refill.isPagePending(jobId)) {
            refill.awaitPage(
                    jobId,
                    deadlineMicros,
                    () -> read(priority, jobId, deadlineMicros, callback),
                    () -> callback.accept(new QueryResult.Refused(QueryRefusal.REFILL_PENDING)));
            return;
        }
        read = new PendingRead();
        pendingReads.put(jobId, read);
        read.callbacks.add(callback);
        readFinalState(priority, jobId, read, deadlineMicros);
    }

    private JobView cachedView(String jobId) {
        CachedJob job = cachedJobs.getIfPresent(jobId);
        if (job == null) {
            return null;
        }
        if (job.unparsed != null) {
            JobLookup lookup = reader.parse(jobId, job.unparsed, job.revision);
            job.unparsed = null;
            job.view = lookup == null ? null : JobView.of(lookup);
        }
        return job.view;
    }

    /** Reads the final state first, because the job of an uncached record has usually ended. */
    private void readFinalState(
            RequestPriority priority, String jobId, PendingRead read, long deadlineMicros) {
        finalStates.read(
                priority,
                jobId,
                deadlineMicros,
                lookup -> {
                    @SuppressWarnings("ReferenceEquality") // The one constant that says so.
                    boolean hasNone = lookup == JobLookup.UNKNOWN;
                    if (hasNone) {
                        readByKey(priority, jobId, read, deadlineMicros);
                    } else {
                        completeRead(jobId, read, lookup);
                    }
                });
    }

    private void readByKey(
            RequestPriority priority, String jobId, PendingRead read, long deadlineMicros) {
        reader.lookUp(
                priority,
                jobId,
                deadlineMicros,
                lookup -> onReadByKey(priority, jobId, read, deadlineMicros, lookup));
    }

    private void onReadByKey(
            RequestPriority priority,
            String jobId,
            PendingRead read,
            long deadlineMicros,
            JobLookup lookup) {
        if (!isOutdated(lookup, read.latestChange)) {
            completeRead(jobId, read, lookup);
        } else if (read.latestChange.value() == null) {
            read.latestChange = null;
            readFinalState(priority, jobId, read, deadlineMicros);
        } else {
            Event change = read.latestChange;
            completeRead(jobId, read, reader.parse(jobId, change.value(), change.revision()));
        }
    }

    private static boolean isOutdated(JobLookup lookup, Event change) {
        return lookup != null
                && lookup.finalState() == null
                && change != null
                && change.revision() > lookup.revision();
    }

    private void completeRead(String jobId, PendingRead read, JobLookup lookup) {
        boolean isCurrent = pendingReads.remove(jobId, read);
        if (lookup == null) {
            QueryResult refused = new QueryResult.Refused(QueryRefusal.READ_UNANSWERED);
            read.callbacks.forEach(answer -> answer.accept(refused));
            return;
        }
        JobView view = JobView.of(lookup);
        if (isCurrent && lookup.record() != null) {
            cachedJobs.put(jobId, new CachedJob(lookup.revision(), view));
        }
        QueryResult answered = new QueryResult.Answered(view);
        read.callbacks.forEach(answer -> answer.accept(answered));
    }
}
