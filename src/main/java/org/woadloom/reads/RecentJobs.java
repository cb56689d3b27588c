package org.woadloom.reads;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;
import org.woadloom.reads.CoalescingJobReader.JobView;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.Event;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreKeys;

/**
 * The jobs that were asked for lately, as of the last round of {@link CoalescingJobReader}, and the
 * reads by key of those that are not kept. Rounds bring changes in; after a gap in them everything
 * has to be cleared and refilled.
 */
final class RecentJobs {
    /**
     * Jobs: the 12,000 open ones of 4,000 machines, which are all polled at every node, and more.
     */
    private static final int MAX_CACHED = 16_000;

    /** A job as of the last round: parsed already, or as the store gave it. */
    private static final class CachedJob {
        private Map<String, Object> unparsed;
        private long revision;
        private JobView view;

        CachedJob(long revision, JobView view) {
            this.revision = revision;
            this.view = view;
        }
    }

    /** A job that is being read by key, for the first query or several. */
    private static final class PendingRead {
        private final List<Consumer<QueryResult>> waiting = new ArrayList<>();

        /** The latest change that rounds have read since it started: the read may be older. */
        private Event latestChange;
    }

    private final JobReader reader;
    private final Cache<String, CachedJob> cached = newCache();

    /**
     * Jobs whose record was removed: it never comes back, so only their final state is left to be
     * read.
     */
    private final Cache<String, Long> ended = newCache();

    private Map<String, PendingRead> pendingReads = new HashMap<>();
    private final RecentJobsRefill refill;

    RecentJobs(EventLoop loop, StoreClient store, JobReader reader) {
        this.reader = reader;
        refill = new RecentJobsRefill(loop, store, this::onRecord);
    }

    private static <V> Cache<String, V> newCache() {
        return Caffeine.newBuilder().maximumSize(MAX_CACHED).executor(Runnable::run).build();
    }

    /** Changes were missed: nothing that is kept, or being read, says how things stand now. */
    void clear() {
        cached.invalidateAll();
        pendingReads = new HashMap<>();
        refill.stop();
    }

    /** Reads all open jobs; rounds have to bring in what changes from now on. */
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
        CachedJob known = cached.getIfPresent(jobId);
        if (known == null || known.revision < revision) {
            JobLookup lookup = reader.parse(jobId, value, revision);
            if (lookup != null) {
                cached.put(jobId, new CachedJob(revision, JobView.of(lookup)));
            }
        }
    }

    /**
     * Applies a change that a round has read.
     *
     * @param queried the jobs for whose queries the round was: to them its changes are as good as a
     *     read by key
     */
    void onChange(Event change, Set<String> queried) {
        String jobId = change.key().substring(StoreKeys.JOB_PREFIX.length());
        boolean removed = change.value() == null;
        refill.onChange(jobId, change);
        if (removed) {
            ended.put(jobId, change.revision());
        }
        CachedJob job = cached.getIfPresent(jobId);
        if (job == null
                && !removed
                && queried.contains(jobId)
                && !pendingReads.containsKey(jobId)) {
            job = new CachedJob(0, null);
            cached.put(jobId, job);
        }
        if (job != null && change.revision() > job.revision) {
            if (removed) {
                // Its final state has to be read.
                cached.invalidate(jobId);
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
     * Answers from what is kept, from a page that is awaited, or from a read by key.
     *
     * @param priority of a read by key
     * @param deadlineMicros when a read that has not been sent yet is of no use any more
     */
    void read(
            RequestPriority priority,
            String jobId,
            long deadlineMicros,
            Consumer<QueryResult> answer) {
        // Its final state may have been read for another request since the query came.
        JobLookup finalState = reader.knownFinalState(jobId);
        JobView view = finalState != null ? JobView.of(finalState) : cachedView(jobId);
        if (view != null) {
            answer.accept(new QueryResult.Answered(view));
            return;
        }
        PendingRead read = pendingReads.get(jobId);
        if (read != null) {
            // One that is in flight is as good: the rounds read what has changed since it started.
            read.waiting.add(answer);
            return;
        }
        if (refill.isAwaited(jobId)) {
            refill.await(
                    jobId,
                    deadlineMicros,
                    () -> read(priority, jobId, deadlineMicros, answer),
                    () -> answer.accept(new QueryResult.Refused(QueryRefusal.REFILL_PENDING)));
            return;
        }
        read = new PendingRead();
        pendingReads.put(jobId, read);
        read.waiting.add(answer);
        readByKey(priority, jobId, read, deadlineMicros);
    }

    private JobView cachedView(String jobId) {
        CachedJob job = cached.getIfPresent(jobId);
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

    private void readByKey(
            RequestPriority priority, String jobId, PendingRead read, long deadlineMicros) {
        reader.lookUp(
                priority,
                jobId,
                ended.getIfPresent(jobId) != null,
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
            readByKey(priority, jobId, read, deadlineMicros);
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
        boolean current = pendingReads.remove(jobId, read);
        if (lookup == null) {
            QueryResult refused = new QueryResult.Refused(QueryRefusal.READ_UNANSWERED);
            read.waiting.forEach(answer -> answer.accept(refused));
            return;
        }
        JobView view = JobView.of(lookup);
        if (current && lookup.record() != null) {
            cached.put(jobId, new CachedJob(lookup.revision(), view));
        }
        QueryResult answered = new QueryResult.Answered(view);
        read.waiting.forEach(answer -> answer.accept(answered));
    }
}
