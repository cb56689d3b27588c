package org.woadloom.core.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** How many processors the latest jobs asked for in all their tasks together, job by job. */
final class RecentJobSizes {
    /** The quantile from which on a job is large. */
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

    /** What nine in ten of them did not exceed; 0 as long as there was none. */
    long large() {
        return large;
    }
}
