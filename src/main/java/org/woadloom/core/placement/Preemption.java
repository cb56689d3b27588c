package org.woadloom.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.woadloom.core.World;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.Placement;
import org.woadloom.core.jobs.Recording;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.reservation.Gathering;
import org.woadloom.core.reservation.Reservation;
import org.woadloom.core.reservation.Reservations;

/**
 * Stops tasks to make room: work of a lower rank, and, for work within its team's guarantee, whatever another team runs
 * beyond its own.
 */
public final class Preemption {
    private final World world;
    private final Eligibility eligibility;
    private final Placer placer;
    private final Reservations reservations;
    private final Gathering gathering;

    public Preemption(World world, Eligibility eligibility, Placer placer, Reservations reservations,
            Gathering gathering) {
        this.world = world;
        this.eligibility = eligibility;
        this.placer = placer;
        this.reservations = reservations;
        this.gathering = gathering;
    }

    public void makeRoom() {
        for (Job job : placer.queue()) {
            if (gathering.gathers(job)) {
                makeReservedRoom(job);
                continue;
            }
            // Room that is reserved for the job, or being made for it, is on its way.
            int wanted = Math.min(job.pending() - reservations.of(job).size(), job.team.allowed(job.room));
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

    /** A job that gathers has its machines: what may be stopped there makes way. */
    private void makeReservedRoom(Job job) {
        Set<Machine> machines = new LinkedHashSet<>();
        for (Reservation reservation : reservations.of(job)) {
            if (reservation.phase() == Reservation.Phase.WAITING) {
                machines.add(reservation.machine);
            }
        }
        for (Machine machine : machines) {
            Room wanted = Room.NONE;
            for (Reservation reservation : reservations.of(job)) {
                wanted = reservation.machine == machine ? wanted.plus(reservation.remaining()) : wanted;
            }
            stopFor(job, machine, reservations.balance(machine, job), wanted);
        }
    }

    /** Stops what must go on one machine; returns how many of the job's tasks will fit. */
    private int free(Job job, Machine machine, int wanted) {
        Room coming = stopFor(job, machine, reservations.balance(machine, null), job.room);
        // The freed room is the preemptor's alone.
        int made = 0;
        while (made < wanted && coming.holds(job.room)
                && reservations.reserve(job, machine, job.room, true, true) != null) {
            coming = coming.minus(job.room);
            made++;
        }
        return made;
    }

    /** Stops tasks until the room is enough, or none if that can't be had; returns the room that there will be. */
    private Room stopFor(Job job, Machine machine, Room free, Room needed) {
        Room coming = free;
        List<Placement> victims = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            if (placement.halting) {
                coming = coming.plus(placement.job.room);
            } else if (mayStop(job, placement)) {
                victims.add(placement);
            }
        }
        victims.sort(Comparator.comparing((Placement p) -> p.job.description.rank())
                .thenComparingLong(p -> -p.placedMicros));
        List<Placement> chosen = new ArrayList<>();
        for (Placement victim : victims) {
            if (coming.holds(needed)) {
                break;
            }
            chosen.add(victim);
            coming = coming.plus(victim.job.room);
        }
        if (!coming.holds(needed)) {
            return Room.NONE;
        }
        for (Placement victim : chosen) {
            world.note("task " + victim.task() + " is stopped on " + machine.host + " for job " + job.uid());
            stop(victim);
        }
        return coming;
    }

    private void stop(Placement victim) {
        if (victim.neverSent()) {
            victim.job.remove(victim);
            victim.job.recording.needs(Recording.Need.OUTCOME);
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
