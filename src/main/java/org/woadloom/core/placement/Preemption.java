package org.woadloom.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.woadloom.core.World;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.Placement;
import org.woadloom.core.machines.Machine;

/**
 * Stops tasks to make room: work of a lower rank, and, for work within its team's guarantee, whatever another team runs
 * beyond its own.
 */
public final class Preemption {
    private final World world;
    private final Eligibility eligibility;
    private final Placer placer;

    public Preemption(World world, Eligibility eligibility, Placer placer) {
        this.world = world;
        this.eligibility = eligibility;
        this.placer = placer;
    }

    public void makeRoom() {
        for (Job job : placer.queue()) {
            int wanted = Math.min(job.pending(), job.team.allowed(job.room));
            for (Machine machine : world.machines.values()) {
                if (wanted <= 0) {
                    break;
                }
                if (eligibility.takesTasks(machine) && eligibility.allows(job, machine)
                        && machine.size.holds(job.room) && !job.failedOn.contains(machine.host)) {
                    wanted -= free(job, machine, wanted);
                }
            }
        }
    }

    /** Stops what must go on one machine; returns how many of the job's tasks will fit. */
    private int free(Job job, Machine machine, int wanted) {
        Room coming = machine.free();
        List<Placement> victims = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            if (placement.halting) {
                coming = coming.plus(placement.job.room);
            } else if (mayStop(job, placement)) {
                victims.add(placement);
            }
        }
        int already = coming.count(job.room);
        if (already >= 1) {
            return Math.min(already, wanted);
        }
        victims.sort(Comparator.comparing((Placement p) -> p.job.description.rank())
                .thenComparingLong(p -> -p.placedMicros));
        List<Placement> chosen = new ArrayList<>();
        for (Placement victim : victims) {
            if (coming.holds(job.room)) {
                break;
            }
            chosen.add(victim);
            coming = coming.plus(victim.job.room);
        }
        if (!coming.holds(job.room)) {
            return 0;
        }
        for (Placement victim : chosen) {
            world.note("task " + victim.task() + " is stopped on " + machine.host + " for job " + job.uid());
            stop(victim);
        }
        return Math.min(coming.count(job.room), wanted);
    }

    private void stop(Placement victim) {
        if (victim.neverSent()) {
            victim.job.remove(victim);
            victim.job.recording.needs(org.woadloom.core.jobs.Recording.Need.OUTCOME);
            world.placementWorthTrying = true;
        } else {
            victim.halting = true;
            victim.windDownS = victim.job.description.snapshotEveryS() > 0 ? victim.job.description.snapshotCostS()
                    : 0;
        }
    }

    private boolean mayStop(Job job, Placement placement) {
        Job other = placement.job;
        if (other.description.rank().compareTo(job.description.rank()) < 0) {
            return true;
        }
        return other.team != job.team && other.team.beyondGuarantee() && job.team.withinGuarantee(job.room);
    }
}
