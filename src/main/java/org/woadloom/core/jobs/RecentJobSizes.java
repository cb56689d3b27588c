package org.woadloom.core.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A sliding window of the total CPU requested by each of the most recent jobs. */
final class RecentJobSizes {
    private static final double LARGE_QUANTILE = 0.9;

    private final int kept;
    private final ArrayDeque<Long> cpus = new ArrayDeque<>();
    private long large;

    RecentJobSizes(int kept) {
        this.kept = kept;
    }

    static long sizeOf(Job job) {
        return job.taskResources.cpu() * job.description.taskCount();
    }

    void add(Job job) {
        cpus.addLast(sizeOf(job));
        if (cpus.size() > kept) {
            cpus.removeFirst();
        }
        List<Long> sorted = new ArrayList<>(cpus);
        sorted.sort(null);
        large = sorted.get((int) Math.ceil(sorted.size() * LARGE_QUANTILE) - 1);
    }

    /** The 90th percentile of the window; 0 while it is empty. */
    long large() {
        return large;
    }
}
