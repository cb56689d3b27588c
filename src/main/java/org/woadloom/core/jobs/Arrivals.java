package org.woadloom.core.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** How much room the latest jobs asked for, each by itself: what comes next is likely no larger than most of them. */
public final class Arrivals {
    private static final int KEPT = 20;
    private static final double LARGE = 0.9;

    private final ArrayDeque<Long> cpus = new ArrayDeque<>();

    /** Notes a job whose tasks run to completion; replicas are too long-lived to keep room free for. */
    void add(Job job) {
        if (!job.description.service()) {
            cpus.addLast(job.room.cpu() * job.description.shards());
            if (cpus.size() > KEPT) {
                cpus.removeFirst();
            }
        }
    }

    /** What nine in ten of the latest jobs did not exceed; 0 as long as there was none. */
    public long large() {
        if (cpus.isEmpty()) {
            return 0;
        }
        List<Long> sorted = new ArrayList<>(cpus);
        sorted.sort(null);
        return sorted.get((int) Math.ceil(sorted.size() * LARGE) - 1);
    }
}
