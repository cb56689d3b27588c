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
    private static final long COUNT_MICROS = 500_000;

    private final World world;
    private long fleet;
    private long countAgainMicros = Long.MIN_VALUE;
    /** By class, the longest time within which the users want its jobs done. */
    private final Map<String, Long> targets = new HashMap<>();

    private record Entry(Job job, boolean late, double turn) {
    }

    private static final Comparator<Entry> ORDER = Comparator
            .comparing((Entry e) -> e.job.rank()).reversed()
            .thenComparing(e -> !e.job.guaranteed)
            .thenComparing(Entry::late)
            .thenComparingDouble(Entry::turn)
            .thenComparing(e -> e.job.uid());

    public ServiceOrder(World world) {
        this.world = world;
        for (Objective objective : world.settings.objectives()) {
            if (objective.kind().equals("finished") && objective.withinS() > 0) {
                targets.merge(objective.jobclass(), (long) (objective.withinS() * 1e6), Math::max);
            }
        }
    }

    public List<Job> sorted(List<Job> jobs) {
        if (jobs.isEmpty()) {
            return jobs;
        }
        countFleet();
        List<Entry> entries = new ArrayList<>(jobs.size());
        for (Job job : jobs) {
            double alone = (double) job.room.cpu() * job.pending() / fleet * runtimeMicros(job);
            entries.add(new Entry(job, late(job), job.sinceMicros() + alone));
        }
        entries.sort(ORDER);
        List<Job> sorted = new ArrayList<>(entries.size());
        for (Entry entry : entries) {
            sorted.add(entry.job);
        }
        return sorted;
    }

    /** How large the fleet is changes slowly, and this is asked in every pass. */
    private void countFleet() {
        if (world.nowMicros < countAgainMicros) {
            return;
        }
        countAgainMicros = world.nowMicros + COUNT_MICROS;
        fleet = 1;
        for (Machine machine : world.machines.values()) {
            fleet += machine.up() ? machine.size().cpu() : 0;
        }
    }

    private static double runtimeMicros(Job job) {
        return job.description.runtimeS() * 1e6;
    }

    /** True if the last of the times that the users set for the job can't be kept any more, by its owner's estimate. */
    private boolean late(Job job) {
        boolean due = job.dueMicros() != Long.MAX_VALUE;
        double from = due ? job.submittedMicros : job.sinceMicros();
        double time = due ? job.dueMicros() - from
                : targets.getOrDefault(job.description.jobclass(), Long.MAX_VALUE);
        double age = world.nowMicros - from;
        return !job.description.service() && age + runtimeMicros(job) > time && age <= PATIENCE * time;
    }
}
