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
 * Keeps for how long each job has been queried on this node in vain while the store answered other
 * queries. A fault may hit the same job time and again; to its users a job that is never answered
 * for is as good as lost. So its queries get priority after a while, and the log and a metric name
 * it.
 */
public final class UnansweredQueries {
    private static final Logger LOG = LoggerFactory.getLogger(UnansweredQueries.class);

    /** A job that went without an answer for so long is read by itself. */
    private static final long PRIORITY_AFTER_MICROS = 10_000_000;

    private static final long WARN_AFTER_MICROS = 20_000_000;
    private static final long WARN_INTERVAL_MICROS = 20_000_000;

    /** Users poll every five seconds or so: a job that nobody polls for any more is dropped. */
    private static final long EXPIRY_SECONDS = 30;

    /** Earlier than any moment of the loop's clock, without overflow in differences. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** The 12,000 open jobs of 4,000 machines, and more: one that is evicted is timed anew. */
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

    /** Notes that a query for the job was answered. */
    public void onAnswered(String jobId) {
        firstRefusalMicros.invalidate(jobId);
    }

    /**
     * Notes that a query for the job could not be answered.
     *
     * @param served whether the store answers others meanwhile: during an outage nothing counts
     *     towards the job's time
     */
    public void onRefused(String jobId, QueryRefusal reason, boolean served) {
        refusalCounts.merge(reason, 1L, Long::sum);
        if (!served) {
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

    /** How many queries were refused for the reason, since the process started. */
    public long refusalCount(QueryRefusal reason) {
        return refusalCounts.getOrDefault(reason, 0L);
    }

    /** Whether queries for the job go before others. */
    public boolean hasPriority(String jobId) {
        Long start = firstRefusalMicros.getIfPresent(jobId);
        return start != null && loop.nowMicros() - start >= PRIORITY_AFTER_MICROS;
    }

    /** The longest time for which a job has gone without an answer. */
    public long longestUnansweredMicros() {
        firstRefusalMicros.cleanUp();
        long now = loop.nowMicros();
        return firstRefusalMicros.asMap().values().stream()
                .mapToLong(start -> now - start)
                .max()
                .orElse(0);
    }
}
