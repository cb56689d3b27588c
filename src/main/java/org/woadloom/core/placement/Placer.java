package org.woadloom.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.World;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.Placement;
import org.woadloom.core.jobs.Recording;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.reservation.Reservation;
import org.woadloom.core.reservation.Reservations;

/** Decides what runs where: by rank, then work within its team's guarantee, then age. */
public final class Placer {
    /** What one task placed by itself adds to a job's record at most. */
    private static final int RECORD_BYTES_PER_TASK = 60;
    private static final int RECORD_BYTES_FIXED = 900;

    private final World world;
    private final Eligibility eligibility;
    private final Reservations reservations;

    public Placer(World world, Eligibility eligibility, Reservations reservations) {
        this.world = world;
        this.eligibility = eligibility;
        this.reservations = reservations;
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
        if (job.description.gang() && !gangFits(job, most)) {
            return;
        }
        int placed = 0;
        for (int index = job.nextPending(0); index >= 0; index = job.nextPending(index + 1)) {
            if (job.placements().size() >= most) {
                break;
            }
            Machine machine = best(job);
            if (machine == null) {
                break;
            }
            Placement placement = new Placement(job, index, machine, attempt, job.recording.nextVersion(),
                    world.nowMicros);
            reservations.draw(placement);
            job.add(placement);
            job.recording.needs(Recording.Need.LAUNCH);
            placed++;
        }
        if (placed > 0) {
            world.debug("job " + job.uid() + " places " + placed + " tasks, " + job.pending() + " pending");
        }
    }

    /** A gang starts only when all of its tasks that are left find room at once. */
    private boolean gangFits(Job job, int most) {
        int wanted = job.pending();
        if (job.placements().size() + wanted > most) {
            return false;
        }
        Map<String, Integer> perYard = new LinkedHashMap<>();
        Room credit = Room.NONE;
        for (Machine machine : world.machines.values()) {
            if (eligibility.takesTasks(machine) && eligibility.allows(job, machine)
                    && !job.failedOn.contains(machine.host)) {
                perYard.merge(machine.yard, reservations.unreserved(machine, job).count(job.room), Integer::sum);
            }
        }
        for (Reservation reservation : reservations.of(job)) {
            credit = credit.plus(reservation.remaining());
        }
        if (job.team.allowed(job.room, credit) < wanted) {
            return false;
        }
        int largest = 0;
        int sum = 0;
        int mostPerYard = job.description.apart() ? (job.description.shards() + 1) / 2 : Integer.MAX_VALUE;
        for (Map.Entry<String, Integer> entry : perYard.entrySet()) {
            int room = Math.min(entry.getValue(), mostPerYard - job.placedIn(entry.getKey()));
            largest = Math.max(largest, room);
            sum += room;
        }
        return (job.description.samePlace() ? largest : sum) >= wanted;
    }

    private Machine best(Job job) {
        Machine best = null;
        double bestScore = 0;
        for (Machine machine : world.machines.values()) {
            if (!eligibility.takesTasks(machine) || !reservations.unreserved(machine, job).holds(job.room)
                    || !machine.free().holds(job.room)
                    || job.team.allowed(job.room, reservations.credit(job, machine)) < 1
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
        if (reservations.match(job, machine) != null) {
            // The reservation is drawn before the machine.
            score += 100_000;
        }
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
        if (job.description.samePlace() && job.placements().isEmpty()) {
            // The first task fixes the zone, so it goes where most of the others fit.
            score += 1000.0 * Math.min(job.pending(), roomIn(job, machine.yard));
        }
        if (job.description.apart()) {
            score -= 10.0 * job.placedIn(machine.yard);
        }
        // Fullest first, so that idle machines can be returned.
        score += 20.0 * machine.used().cpu() / Math.max(1, machine.size.cpu());
        return score;
    }

    private int roomIn(Job job, String yard) {
        int room = 0;
        for (Machine machine : world.machines.values()) {
            if (machine.yard.equals(yard) && eligibility.takesTasks(machine) && eligibility.allows(job, machine)) {
                room += reservations.unreserved(machine, job).count(job.room);
            }
        }
        return room;
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
