package org.woadloom.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.World;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.settings.Objective;

/**
 * The order in which waiting jobs are served: by rank, then work within its team's guarantee, then what can still be in
 * time, then age. Under overload age alone would make every job late. Jobs that are small for the fleet go a little
 * before their age, as if each had queued for the time that the whole fleet needs for it.
 */
public final class ServiceOrder {
    /** A late job is served by its age again after so many times the time it had: nobody waits for ever. */
    private static final int PATIENCE = 6;

    private final World world;
    /** By class, within how many microseconds of its submission the users want a job done, soonest first. */
    private final Map<String, List<Long>> targets = new HashMap<>();

    private record Entry(Job job, int lateness, double turn) {
    }

    private static final Comparator<Entry> ORDER = Comparator
            .comparing((Entry e) -> e.job.description.rank()).reversed()
            .thenComparing(e -> !e.job.guaranteed)
            .thenComparingInt(Entry::lateness)
            .thenComparingDouble(Entry::turn)
            .thenComparing(e -> e.job.uid());

    public ServiceOrder(World world) {
        this.world = world;
        for (Objective objective : world.settings.objectives()) {
            if (objective.kind().equals("finished") && objective.withinS() > 0) {
                targets.computeIfAbsent(objective.jobclass(), c -> new ArrayList<>())
                        .add((long) (objective.withinS() * 1e6));
            }
        }
        targets.values().forEach(list -> list.sort(null));
    }

    public List<Job> sorted(List<Job> jobs) {
        long fleet = 1;
        for (Machine machine : world.machines.values()) {
            fleet += machine.up() ? machine.size().cpu() : 0;
        }
        List<Entry> entries = new ArrayList<>(jobs.size());
        for (Job job : jobs) {
            double alone = (double) job.room.cpu() * job.pending() / fleet * runtimeMicros(job);
            entries.add(new Entry(job, lateness(job), job.submittedMicros + alone));
        }
        entries.sort(ORDER);
        List<Job> sorted = new ArrayList<>(entries.size());
        for (Entry entry : entries) {
            sorted.add(entry.job);
        }
        return sorted;
    }

    private static double runtimeMicros(Job job) {
        return job.description.runtimeS() * 1e6;
    }

    /** How many of the times that the users set for the job can't be kept any more, going by its owner's estimate. */
    private int lateness(Job job) {
        if (job.description.service()) {
            return 0;
        }
        List<Long> times = job.description.dueS() != null ? List.of((long) (job.description.dueS() * 1e6))
                : targets.getOrDefault(job.description.jobclass(), List.of());
        double age = world.nowMicros - job.submittedMicros;
        int late = 0;
        for (long time : times) {
            late += age + runtimeMicros(job) > time ? 1 : 0;
        }
        return late > 0 && age > PATIENCE * (double) times.get(times.size() - 1) ? 0 : late;
    }
}
