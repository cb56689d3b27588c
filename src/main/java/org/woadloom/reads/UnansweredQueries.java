package org.woadloom.reads;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.net.EventLoop;

/**
 * Tracks how long queries for each job have been refused on this node although the store answered
 * other queries. A fault may affect the same job repeatedly, and its users cannot tell an
 * unanswered job from a lost one. Queries for such a job therefore get a higher priority after a
 * while, and the job appears in the log and in a metric.
 */
public final class UnansweredQueries {
    private static final Logger LOG = LoggerFactory.getLogger(UnansweredQueries.class);

    /** Time without an answer after which the job is read individually with priority. */
    private static final long PRIORITY_AFTER_MICROS = 10_000_000;

    private static final long WARN_AFTER_MICROS = 20_000_000;
    private static final long WARN_INTERVAL_MICROS = 20_000_000;

    /** Users poll about every 5 s; a job that is no longer polled is dropped. */
    private static final long EXPIRY_SECONDS = 30;

    /** Earlier than any time of the loop's clock, but safe from overflow in subtractions. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** The 12,000 open jobs of 4,000 machines plus a margin; timing restarts for an evicted job. */
    private static final int MAX_JOBS = 16_000;

    private final EventLoop loop;
    private final Cache<String, Long> firstRefusalMicros;
    private final Map<QueryRefusal, Long> refusalCounts = new EnumMap<>(QueryRefusal.class);
    private long lastWarningMicros = NEVER_MICROS;

    public UnansweredQueries(EventLoop loop) {
        this.loop = loop;
        firstRefusalMicros =
                Caffeine.newBuilder()
                        .maximumSize(MAX_JOBS)
                        .executor(Runnable::run)
                        .ticker(() -> loop.nowMicros() * 1_000)
                        .expireAfterAccess(EXPIRY_SECONDS, TimeUnit.SECONDS)
                        .build();
    }

    /** Records that a query for the job was answered. */
    public void onAnswered(String jobId) {
        firstRefusalMicros.invalidate(jobId);
    }

    /**
     * Records that a query for the job was refused.
     *
     * @param isStoreServing true if the store currently answers other queries; time during an
     *     outage does not count
     */
    public void onRefused(String jobId, QueryRefusal reason, boolean isStoreServing) {
        refusalCounts.merge(reason, 1L, Long::sum);
        if (!isStoreServing) {
            firstRefusalMicros.invalidate(jobId);
            return;
        }
        long now = loop.nowMicros();
        long start = firstRefusalMicros.get(jobId, key -> now);
        if (now - start >= WARN_AFTER_MICROS && now - lastWarningMicros >= WARN_INTERVAL_MICROS) {
            lastWarningMicros = now;
            LOG.warn(
                    "event=job_unanswered job={} since_s={} unanswered_jobs={} reason={}",
                    jobId,
                    (now - start) / 1_000_000,
                    firstRefusalMicros.estimatedSize(),
                    reason.key());
        }
    }

    /** Returns how many queries were refused for the given reason since the process started. */
    public long refusalCount(QueryRefusal reason) {
        return refusalCounts.getOrDefault(reason, 0L);
    }

    /** Returns true if queries for the job are sent before others. */
    public boolean hasPriority(String jobId) {
        Long start = firstRefusalMicros.getIfPresent(jobId);
        return start != null && loop.nowMicros() - start >= PRIORITY_AFTER_MICROS;
    }

    /** Returns the longest time for which any job has gone without an answer. */
    public long longestUnansweredMicros() {
        firstRefusalMicros.cleanUp();
        long now = loop.nowMicros();
        return firstRefusalMicros.asMap().values().stream()
                .mapToLong(start -> now - start)
                .max()
                .orElse(0);
    }
}
