package org.woadloom.core.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A sliding window of the total CPU requested by each of the most recent jobs. */
final class RecentJobSizes {
    private static final double LARGE_QUANTILE = 0.9;

    private final int capacity;
    private final ArrayDeque<Long> sizes = new ArrayDeque<>();
    private long largeSize;

    RecentJobSizes(int capacity) {
        this.capacity = capacity;
    }

    static long sizeOf(Job job) {
        return job.taskResources.cpu() * job.description.taskCount();
    }

    void add(Job job) {
        sizes.addLast(sizeOf(job));
        if (sizes.size() > capacity) {
            sizes.removeFirst();
        }
        List<Long> sorted = new ArrayList<>(sizes);
        sorted.sort(null);
        largeSize = sorted.get((int) Math.ceil(sorted.size() * LARGE_QUANTILE) - 1);
    }

    /** The 90th percentile of the window; 0 while it is empty. */
    long largeSize() {
        return largeSize;
    }
}
