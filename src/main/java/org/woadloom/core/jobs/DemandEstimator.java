package org.woadloom.core.jobs;

import java.util.HashMap;
import java.util.Map;

/** Estimates from the sizes of recent jobs how much CPU the next ones will request. */
public final class DemandEstimator {
    private static final int BATCH_WINDOW_JOBS = 20;
    private static final int CLASS_WINDOW_JOBS = 60;

    /** After this long without a new job, no further jobs are expected. */
    private static final long QUIET_MICROS = 120_000_000;

    private final RecentJobSizes batchSizes = new RecentJobSizes(BATCH_WINDOW_JOBS);
    private final Map<String, RecentJobSizes> sizesByClass = new HashMap<>();
    private long lastArrivalMicros = Long.MIN_VALUE / 2;

    /**
     * Records a job that is ready to run. Services count only towards their class: they run too
     * long to keep machines free for the next one.
     */
    void add(Job job, long nowMicros) {
        lastArrivalMicros = nowMicros;
        if (!job.description.isService()) {
            batchSizes.add(job);
        }
        sizesByClass
                .computeIfAbsent(
                        job.description.jobClass(), name -> new RecentJobSizes(CLASS_WINDOW_JOBS))
                .add(job);
    }

    /**
     * The 90th percentile of the CPU requested by recent batch jobs, each with all its tasks; 0
     * before the first job.
     */
    public long largeJobCpu() {
        return batchSizes.largeSize();
    }

    /** True if no job has arrived for so long that no machine needs to be kept for the next one. */
    public boolean isQuiet(long nowMicros) {
        return nowMicros - lastArrivalMicros > QUIET_MICROS;
    }

    /**
     * True for a job that is at least as large as the 90th percentile of the recent jobs of its
     * class.
     */
    public boolean isLargeInClass(Job job) {
        RecentJobSizes sizes = sizesByClass.get(job.description.jobClass());
        return sizes != null && RecentJobSizes.sizeOf(job) >= sizes.largeSize();
    }
}
