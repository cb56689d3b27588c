package org.woadloom.core.jobs;

import java.util.HashMap;
import java.util.Map;

/** How much the latest jobs asked for: what comes next is likely no larger than most of them. */
public final class DemandEstimator {
    private static final int KEPT_JOBS = 20;
    private static final int KEPT_JOBS_PER_CLASS = 60;

    /** How long no job has come when it counts as quiet. */
    private static final long QUIET_MICROS = 120_000_000;

    private final RecentJobSizes batch = new RecentJobSizes(KEPT_JOBS);
    private final Map<String, RecentJobSizes> byClass = new HashMap<>();
    private long lastArrivalMicros = Long.MIN_VALUE / 2;

    /** Notes a job that may start. Replicas are too long-lived to keep machines free for. */
    void add(Job job, long nowMicros) {
        lastArrivalMicros = nowMicros;
        if (!job.description.isService()) {
            batch.add(job);
        }
        byClass.computeIfAbsent(
                        job.description.jobClass(), name -> new RecentJobSizes(KEPT_JOBS_PER_CLASS))
                .add(job);
    }

    /**
     * What nine in ten of the latest jobs did not exceed, replicas apart; 0 as long as there was
     * none.
     */
    public long largeJobCpu() {
        return batch.large();
    }

    /** True if nothing has come for so long that no machine need be kept for what may come next. */
    public boolean isQuiet(long nowMicros) {
        return nowMicros - lastArrivalMicros > QUIET_MICROS;
    }

    /** True for one of the largest of its class: no more than one in ten was larger lately. */
    public boolean isLargeInClass(Job job) {
        RecentJobSizes sizes = byClass.get(job.description.jobClass());
        return sizes != null && RecentJobSizes.sizeOf(job) >= sizes.large();
    }
}
