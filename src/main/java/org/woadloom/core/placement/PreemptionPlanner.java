package org.woadloom.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.quota.TeamQuota;
import org.woadloom.core.reservation.GangReservationPlanner;
import org.woadloom.core.reservation.Reservation;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.protocol.Priority;

/**
 * Stops tasks to make room: work of a lower rank, and, for work within its team's guarantee,
 * whatever another team runs beyond its own.
 */
public final class PreemptionPlanner {
    private static final long MOVE_MICROS = 5_000_000;
    private static final long MOVE_SEARCH_MICROS = 1_000_000;

    private final SchedulerState world;
    private final PlacementConstraints eligibility;
    private final Reservations reservations;
    private final GangReservationPlanner gathering;
    private long nextMoveMicros;

    public PreemptionPlanner(
            SchedulerState world,
            PlacementConstraints eligibility,
            Reservations reservations,
            GangReservationPlanner gathering) {
        this.world = world;
        this.eligibility = eligibility;
        this.reservations = reservations;
        this.gathering = gathering;
    }

    /** A kind of search that found too little on all machines in this pass. */
    private record FailedSearch(
            ResourceRequest shape, Priority priority, TeamQuota borrowersGiveTo) {
        boolean covers(Job job, boolean fromBorrowers) {
            return priority.compareTo(job.priority()) >= 0
                    && (!fromBorrowers || borrowersGiveTo == job.team)
                    && shape.covers(job);
        }
    }

    public void makeRoom(List<Job> queue) {
        List<FailedSearch> hopeless = new ArrayList<>();
        for (Job job : queue) {
            if (gathering.gathers(job)) {
                makeReservedRoom(job);
                continue;
            }
            // Room that is reserved for the job, or being made for it, is on its way.
            int wanted = Math.min(job.pending() - reservations.heldFor(job), job.allowed());
            if (wanted <= 0) {
                continue;
            }
            boolean fromBorrowers =
                    job.guaranteed && job.team.withinGuarantee(job.room) && othersBorrow(job.team);
            if (hopeless.stream().noneMatch(known -> known.covers(job, fromBorrowers))) {
                wanted = free(job, wanted, fromBorrowers);
                if (wanted > 0 && ResourceRequest.plain(job)) {
                    hopeless.add(
                            new FailedSearch(
                                    ResourceRequest.of(job),
                                    job.priority(),
                                    fromBorrowers ? job.team : null));
                }
            }
            if (wanted > 0 && job.description.isService()) {
                moveReplica(job);
            }
        }
    }

    private boolean othersBorrow(TeamQuota team) {
        for (TeamQuota other : world.teams.values()) {
            if (other != team && other.beyondGuarantee()) {
                return true;
            }
        }
        return false;
    }

    /** Makes room where that can be done; returns for how many tasks there is still none. */
    private int free(Job job, int wanted, boolean fromBorrowers) {
        int missing = wanted;
        for (Machine machine : world.machines.values()) {
            if (missing <= 0) {
                break;
            }
            if ((machine.hasHalting()
                            || machine.hasBelow(job.priority())
                            || fromBorrowers && !machine.empty())
                    && machine.size().holds(job.room)
                    && eligibility.takesTasks(machine)
                    && eligibility.allows(job, machine)
                    && !job.failedOn.contains(machine.host)) {
                missing -= free(job, machine, missing);
            }
        }
        return missing;
    }

    /**
     * Replicas that must spread may find the only zone that is left to them full of replicas that
     * could as well be elsewhere. One of those moves, at most one in a while, and only to a machine
     * that has room and its image.
     */
    private void moveReplica(Job job) {
        if (world.nowMicros < nextMoveMicros) {
            return;
        }
        nextMoveMicros = world.nowMicros + MOVE_SEARCH_MICROS;
        for (Machine machine : world.machines.values()) {
            if (!eligibility.takesTasks(machine) || !eligibility.allows(job, machine)) {
                continue;
            }
            for (TaskAttempt placement : machine.placements()) {
                Resources coming = reservations.balance(machine, null).plus(placement.job.room);
                if (placement.job != job
                        && placement.job.description.isService()
                        && !placement.halting()
                        && placement.stage == TaskAttempt.Stage.THERE
                        && coming.holds(job.room)
                        && hasRoomElsewhere(placement)
                        && reservations.reserve(job, machine, job.room, true, true) != null) {
                    world.log(
                            LogEntry.info(LogEvent.REPLICA_MOVED)
                                    .with("task", placement.task())
                                    .with("zone", machine.zone)
                                    .with("for_job", job.jobId()));
                    nextMoveMicros = world.nowMicros + MOVE_MICROS;
                    stop(placement);
                    return;
                }
            }
        }
    }

    private boolean hasRoomElsewhere(TaskAttempt placement) {
        Job job = placement.job;
        for (Machine machine : world.machines.values()) {
            if (!machine.zone.equals(placement.machine.zone)
                    && eligibility.takesTasks(machine)
                    && eligibility.allows(job, machine)
                    && machine.images.has(job.description.image())
                    && reservations.unreserved(machine, job).holds(job.room)) {
                return true;
            }
        }
        return false;
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
            Resources wanted = Resources.NONE;
            for (Reservation reservation : reservations.of(job)) {
                wanted =
                        reservation.machine == machine
                                ? wanted.plus(reservation.remaining())
                                : wanted;
            }
            stopFor(job, machine, reservations.balance(machine, job), wanted);
        }
    }

    /** Stops what must go on one machine; returns how many of the job's tasks will fit. */
    private int free(Job job, Machine machine, int wanted) {
        Resources coming = stopFor(job, machine, reservations.balance(machine, null), job.room);
        // The freed room is the preemptor's alone.
        int made = 0;
        while (made < wanted
                && coming.holds(job.room)
                && reservations.reserve(job, machine, job.room, true, true) != null) {
            coming = coming.minus(job.room);
            made++;
        }
        return made;
    }

    /**
     * Stops tasks until the room is enough, or none if that can't be had; returns the room that
     * there will be.
     */
    private Resources stopFor(Job job, Machine machine, Resources free, Resources needed) {
        Resources coming = free;
        List<TaskAttempt> victims = new ArrayList<>();
        for (TaskAttempt placement : machine.placements()) {
            if (placement.halting()) {
                coming = coming.plus(placement.job.room);
            } else if (mayStop(job, placement)) {
                victims.add(placement);
            }
        }
        // The lowest rank first, then borrowers, then what can save, then what has run least.
        victims.sort(
                Comparator.comparing((TaskAttempt p) -> p.job.priority())
                        .thenComparing(p -> p.job.guaranteed)
                        .thenComparing(p -> p.job.description.checkpointIntervalSeconds() == 0)
                        .thenComparingLong(p -> -p.placedMicros));
        List<TaskAttempt> chosen = new ArrayList<>();
        for (TaskAttempt victim : victims) {
            if (coming.holds(needed)) {
                break;
            }
            chosen.add(victim);
            coming = coming.plus(victim.job.room);
        }
        if (!coming.holds(needed)) {
            return Resources.NONE;
        }
        for (TaskAttempt victim : chosen) {
            world.log(
                    LogEntry.info(LogEvent.TASK_PREEMPTED)
                            .with("task", victim.task())
                            .with("machine", machine.host)
                            .with("for_job", job.jobId()));
            stop(victim);
        }
        return coming;
    }

    private void stop(TaskAttempt victim) {
        victim.job.preempted(world.nowMicros);
        if (victim.neverSent()) {
            victim.job.remove(victim);
            victim.job.recording.needs(PersistenceState.WriteReason.OUTCOME);
            world.placementWorthTrying = true;
        } else {
            victim.halt(
                    victim.job.description.checkpointIntervalSeconds() > 0
                            ? victim.job.description.checkpointCostSeconds()
                            : 0);
        }
    }

    /**
     * A lower rank, or a borrower of the same rank. The protocol would let a guarantee stop
     * borrowers of a higher rank as well; those would then stop the job in turn, and so on.
     */
    private boolean mayStop(Job job, TaskAttempt placement) {
        Job other = placement.job;
        int order = other.priority().compareTo(job.priority());
        if (order != 0) {
            return order < 0;
        }
        return other.team != job.team
                && !other.guaranteed
                && other.team.beyondGuarantee()
                && job.guaranteed
                && job.team.withinGuarantee(job.room);
    }
}
