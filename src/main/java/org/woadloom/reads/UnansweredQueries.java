package org.woadloom.reads;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.net.EventLoop;

/**
 * For how long each job has been asked about here in vain while the store was well. Whatever picks
 * out one job again and again, a job that nobody can be told about is as good as forgotten: its
 * users go before everybody else's after a while, and the log and a meter name it.
 */
public final class UnansweredQueries {
    private static final Logger LOG = LoggerFactory.getLogger(UnansweredQueries.class);

    /** A job that went without an answer for so long is read by itself. */
    private static final long FIRST_MICROS = 10_000_000;

    private static final long TELL_MICROS = 20_000_000;

    /** Users ask every five seconds or so: whoever has stopped asking is not kept waiting. */
    private static final long FORGET_S = 30;

    /**
     * All open jobs of 4,000 machines, 12,000, and some more: one that was dropped would be timed
     * anew. 161 bytes each (measured).
     */
    private static final int MAX_JOBS = 16_000;

    private final EventLoop loop;
    private final Cache<String, Long> since;
    private long toldMicros = Long.MIN_VALUE / 2;

    public UnansweredQueries(EventLoop loop) {
        this.loop = loop;
        since =
                Caffeine.newBuilder()
                        .maximumSize(MAX_JOBS)
                        .executor(Runnable::run)
                        .ticker(() -> loop.nowMicros() * 1_000)
                        .expireAfterAccess(FORGET_S, TimeUnit.SECONDS)
                        .build();
    }

    public void onAnswered(String jobId) {
        since.invalidate(jobId);
    }

    /**
     * @param served the store has answered others meanwhile: it is not an outage
     */
    public void onRefused(String jobId, boolean served) {
        if (!served) {
            since.invalidate(jobId);
            return;
        }
        long now = loop.nowMicros();
        long from = since.get(jobId, key -> now);
        if (now - from >= TELL_MICROS && now - toldMicros >= TELL_MICROS) {
            toldMicros = now;
            LOG.warn(
                    "event=job_unanswered job={} since_s={} unanswered_jobs={}",
                    jobId,
                    (now - from) / 1_000_000,
                    since.estimatedSize());
        }
    }

    /** True for a job whose users are to go first. */
    public boolean hasPriority(String jobId) {
        Long from = since.getIfPresent(jobId);
        return from != null && loop.nowMicros() - from >= FIRST_MICROS;
    }

    /** For how long the longest has gone without an answer. */
    public long longestMicros() {
        since.cleanUp();
        long now = loop.nowMicros();
        return since.asMap().values().stream().mapToLong(from -> now - from).max().orElse(0);
    }
}
