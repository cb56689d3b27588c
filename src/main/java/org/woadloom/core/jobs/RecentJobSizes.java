package org.woadloom.core.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** How much processor time the latest jobs asked for at once, each by itself. */
final class RecentJobSizes {
    private static final double LARGE = 0.9;

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
        large = sorted.get((int) Math.ceil(sorted.size() * LARGE) - 1);
    }

    /** What nine in ten of them did not exceed; 0 as long as there was none. */
    long large() {
        return large;
    }
}
