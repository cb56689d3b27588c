package org.woadloom.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.woadloom.core.World;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.Placement;
import org.woadloom.core.jobs.Recording;
import org.woadloom.core.machines.Machine;

/** Decides what runs where: by rank, then work within its team's guarantee, then age. */
public final class Placer {
    /** What one task placed by itself adds to a job's record at most. */
    private static final int RECORD_BYTES_PER_TASK = 60;
    private static final int RECORD_BYTES_FIXED = 900;

    private final World world;
    private final Eligibility eligibility;

    public Placer(World world, Eligibility eligibility) {
        this.world = world;
        this.eligibility = eligibility;
    }

    /** Jobs with pending tasks that may be placed now, in the order in which they are served. */
    public List<Job> queue() {
        record Entry(Job job, boolean within) {
        }
        List<Entry> entries = new ArrayList<>();
        for (Job job : world.jobs.values()) {
            if (job.pending() > 0 && job.notBeforeMicros <= world.nowMicros) {
                entries.add(new Entry(job, job.team.withinGuarantee(job.room)));
            }
        }
        entries.sort(Comparator.comparing((Entry e) -> e.job.description.rank()).reversed()
                .thenComparing(e -> !e.within).thenComparingLong(e -> e.job.submittedMicros)
                .thenComparing(e -> e.job.uid()));
        List<Job> jobs = new ArrayList<>(entries.size());
        for (Entry entry : entries) {
            jobs.add(entry.job);
        }
        return jobs;
    }

    public void place() {
        long attempt = world.newAttempt();
        for (Job job : queue()) {
            placeJob(job, attempt);
        }
    }

    private void placeJob(Job job, long attempt) {
        int most = (world.settings.valueBytes() - RECORD_BYTES_FIXED) / RECORD_BYTES_PER_TASK;
        int placed = 0;
        for (int index = job.nextPending(0); index >= 0; index = job.nextPending(index + 1)) {
            if (job.placements().size() >= most || job.team.allowed(job.room) < 1) {
                break;
            }
            Machine machine = best(job);
            if (machine == null) {
                break;
            }
            job.add(new Placement(job, index, machine, attempt, job.recording.nextVersion(), world.nowMicros));
            job.recording.needs(Recording.Need.LAUNCH);
            placed++;
        }
        if (placed > 0) {
            world.debug("job " + job.uid() + " places " + placed + " tasks, " + job.pending() + " pending");
        }
    }

    private Machine best(Job job) {
        Machine best = null;
        double bestScore = 0;
        for (Machine machine : world.machines.values()) {
            if (!eligibility.takesTasks(machine) || !machine.free().holds(job.room)
                    || !eligibility.allows(job, machine) || job.failedOn.contains(machine.host)) {
                continue;
            }
            double score = score(job, machine);
            if (best == null || score > bestScore) {
                best = machine;
                bestScore = score;
            }
        }
        return best;
    }

    private double score(Job job, Machine machine) {
        double score = 0;
        if (machine.images.has(job.description.bundle())) {
            score += 100;
        }
        if (job.description.service()) {
            // Replicas on one machine are lost together.
            score -= 1000.0 * replicasOn(job, machine);
        } else if (machine.reclaimable) {
            // Ordinary room is for work that may not use spot machines.
            score += 50;
        }
        if (job.description.apart()) {
            score -= 10.0 * job.placedIn(machine.yard);
        }
        // Fullest first, so that idle machines can be returned.
        score += 20.0 * machine.used().cpu() / Math.max(1, machine.size.cpu());
        return score;
    }

    private static int replicasOn(Job job, Machine machine) {
        int count = 0;
        for (Placement placement : job.placements()) {
            if (placement.machine == machine) {
                count++;
            }
        }
        return count;
    }
}
