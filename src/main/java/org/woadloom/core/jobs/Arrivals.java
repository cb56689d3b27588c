package org.woadloom.core.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.woadloom.core.placement.Room;

/** What the latest jobs asked for: what comes next is likely no larger than most of them, and as frequent. */
public final class Arrivals {
    private static final int KEPT = 20;
    private static final double LARGE = 0.9;
    /** Services that came in less time than this came together, and say nothing of how often they come. */
    private static final long BURST_MICROS = 30_000_000;
    private static final double MOST_SERVICES = 3;

    private final ArrayDeque<Long> cpus = new ArrayDeque<>();
    private final ArrayDeque<Replicas> services = new ArrayDeque<>();

    /** Replicas of one size in one zone. */
    public record Replicas(Room room, int tasks, long sinceMicros) {
        long cpu() {
            return room.cpu() * tasks;
        }
    }

    /** Notes a job that may begin now. */
    void add(Job job) {
        int shards = job.description.shards();
        if (!job.description.service()) {
            keep(cpus, job.room.cpu() * shards);
        } else {
            keep(services, new Replicas(job.room, job.description.apart() ? (shards + 1) / 2 : shards, job.sinceMicros()));
        }
    }

    private static <T> void keep(ArrayDeque<T> latest, T item) {
        latest.addLast(item);
        if (latest.size() > KEPT) {
            latest.removeFirst();
        }
    }

    /** What nine in ten of the latest jobs whose tasks run to completion did not exceed; 0 as long as there was none. */
    public long large() {
        if (cpus.isEmpty()) {
            return 0;
        }
        List<Long> sorted = new ArrayList<>(cpus);
        sorted.sort(null);
        return sorted.get((int) Math.ceil(sorted.size() * LARGE) - 1);
    }

    /**
     * The replicas for which a zone should have room that is free at once: those of a service as large as nine in ten, and
     * of as many more as come in the given time, by the latest. Null until enough have come to tell.
     */
    public Replicas nextReplicas(long nowMicros, long inMicros) {
        if (services.size() < KEPT) {
            return null;
        }
        List<Replicas> sorted = new ArrayList<>(services);
        sorted.sort(Comparator.comparingLong(Replicas::cpu));
        Replicas large = sorted.get((int) Math.ceil(KEPT * LARGE) - 1);
        long first = services.stream().mapToLong(Replicas::sinceMicros).min().orElse(nowMicros);
        long span = nowMicros - first;
        double more = span < BURST_MICROS ? 0 : Math.min(MOST_SERVICES, (double) KEPT * inMicros / span) - 1;
        double mean = services.stream().mapToInt(Replicas::tasks).average().orElse(0);
        return new Replicas(large.room, large.tasks + (int) Math.max(0, mean * more), first);
    }
}
