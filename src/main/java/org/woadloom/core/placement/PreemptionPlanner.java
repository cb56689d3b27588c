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
 * Stops tasks in favour of others: work of a lower priority, and, for work within its team's
 * guarantee, whatever another team runs beyond its own.
 */
public final class PreemptionPlanner {
    /** At most one replica is moved to another zone in this time: each move interrupts it. */
    private static final long MOVE_INTERVAL_MICROS = 5_000_000;

    /** How often a replica to move is searched for: the search is over all machines. */
    private static final long MOVE_SEARCH_INTERVAL_MICROS = 1_000_000;

    /** Lowest priority first, then borrowers, then what can checkpoint, then what ran least. */
    private static final Comparator<TaskAttempt> VICTIM_ORDER =
            Comparator.comparing((TaskAttempt attempt) -> attempt.job.priority())
                    .thenComparing(attempt -> attempt.job.isWithinGuarantee())
                    .thenComparing(
                            attempt -> attempt.job.description.checkpointIntervalSeconds() == 0)
                    .thenComparingLong(attempt -> -attempt.placedMicros);

    private final SchedulerState state;
    private final PlacementConstraints constraints;
    private final Reservations reservations;
    private final GangReservationPlanner gangPlanner;
    private long nextReplicaMoveMicros;

    public PreemptionPlanner(
            SchedulerState state,
            PlacementConstraints constraints,
            Reservations reservations,
            GangReservationPlanner gangPlanner) {
        this.state = state;
        this.constraints = constraints;
        this.reservations = reservations;
        this.gangPlanner = gangPlanner;
    }

    /** A search that found too little on all machines in this pass, and speaks for others. */
    private record FailedSearch(
            ResourceRequest request, Priority priority, TeamQuota guaranteedTeam) {
        boolean covers(Job job, boolean fromBorrowers) {
            return priority.compareTo(job.priority()) >= 0
                    && (!fromBorrowers || guaranteedTeam == job.teamQuota)
                    && request.covers(job);
        }
    }

    /** Frees resources for the waiting jobs, in their order. */
    public void preemptFor(List<Job> queue) {
        List<FailedSearch> failedSearches = new ArrayList<>();
        for (Job job : queue) {
            if (gangPlanner.needsReservations(job)) {
                preemptOnReservedMachines(job);
                continue;
            }
            // What is reserved for the job, or being freed for it, is on its way.
            int wanted =
                    Math.min(
                            job.pendingTaskCount() - reservations.countFor(job),
                            job.allowedTasks());
            if (wanted <= 0) {
                continue;
            }
            boolean fromBorrowers =
                    job.isWithinGuarantee()
                            && job.teamQuota.staysWithinGuarantee(job.taskResources)
                            && othersBorrow(job.teamQuota);
            if (failedSearches.stream().noneMatch(known -> known.covers(job, fromBorrowers))) {
                wanted = freeResources(job, wanted, fromBorrowers);
                if (wanted > 0 && ResourceRequest.isRepresentative(job)) {
                    failedSearches.add(
                            new FailedSearch(
                                    ResourceRequest.of(job),
                                    job.priority(),
                                    fromBorrowers ? job.teamQuota : null));
                }
            }
            if (wanted > 0 && job.description.isService()) {
                moveReplica(job);
            }
        }
    }

    private boolean othersBorrow(TeamQuota team) {
        for (TeamQuota other : state.teams().values()) {
            if (other != team && other.exceedsGuarantee()) {
                return true;
            }
        }
        return false;
    }

    /** Frees resources where that can be done; returns for how many tasks there are still none. */
    private int freeResources(Job job, int wanted, boolean fromBorrowers) {
        int missing = wanted;
        for (Machine machine : state.machines().values()) {
            if (missing <= 0) {
                break;
            }
            if ((machine.hasStoppingTasks()
                            || machine.hasTasksBelow(job.priority())
                            || (fromBorrowers && !machine.isEmpty()))
                    && machine.capacity().contains(job.taskResources)
                    && constraints.acceptsTasks(machine)
                    && constraints.allows(job, machine)
                    && !job.failedOnHosts.contains(machine.host)) {
                missing -= freeResources(job, machine, missing);
            }
        }
        return missing;
    }

    /**
     * Replicas that must spread may find the only zone that is left to them full of replicas that
     * could as well be elsewhere. One of those moves, at most one in a while, and only if a machine
     * elsewhere has the resources and its image.
     */
    private void moveReplica(Job job) {
        if (state.nowMicros() < nextReplicaMoveMicros) {
            return;
        }
        nextReplicaMoveMicros = state.nowMicros() + MOVE_SEARCH_INTERVAL_MICROS;
        for (Machine machine : state.machines().values()) {
            if (!constraints.acceptsTasks(machine) || !constraints.allows(job, machine)) {
                continue;
            }
            for (TaskAttempt attempt : machine.attempts()) {
                Resources expected =
                        reservations
                                .unreservedBalance(machine, null)
                                .plus(attempt.job.taskResources);
                if (attempt.job != job
                        && attempt.job.description.isService()
                        && !attempt.isStopping()
                        && attempt.stage() == TaskAttempt.Stage.CONFIRMED
                        && expected.contains(job.taskResources)
                        && fitsInOtherZone(attempt)
                        && reservations.reserve(job, machine, job.taskResources, true, true)
                                != null) {
                    state.log(
                            LogEntry.info(LogEvent.REPLICA_MOVED)
                                    .with("task", attempt.taskId())
                                    .with("zone", machine.zone)
                                    .with("for_job", job.jobId()));
                    nextReplicaMoveMicros = state.nowMicros() + MOVE_INTERVAL_MICROS;
                    stop(attempt);
                    return;
                }
            }
        }
    }

    private boolean fitsInOtherZone(TaskAttempt attempt) {
        Job job = attempt.job;
        for (Machine machine : state.machines().values()) {
            if (!machine.zone.equals(attempt.machine.zone)
                    && constraints.acceptsTasks(machine)
                    && constraints.allows(job, machine)
                    && machine.images.contains(job.description.image())
                    && reservations.unreserved(machine, job).contains(job.taskResources)) {
                return true;
            }
        }
        return false;
    }

    /** A job that reserves has its machines: what may be stopped there is stopped. */
    private void preemptOnReservedMachines(Job job) {
        Set<Machine> machines = new LinkedHashSet<>();
        for (Reservation reservation : reservations.reservationsOf(job)) {
            if (reservation.phase() == Reservation.Phase.WAITING) {
                machines.add(reservation.machine);
            }
        }
        for (Machine machine : machines) {
            Resources wanted = Resources.NONE;
            for (Reservation reservation : reservations.reservationsOf(job)) {
                wanted =
                        reservation.machine == machine
                                ? wanted.plus(reservation.remaining())
                                : wanted;
            }
            stopFor(job, machine, reservations.unreservedBalance(machine, job), wanted);
        }
    }

    /** Stops what must go on one machine; returns how many of the job's tasks will fit. */
    private int freeResources(Job job, Machine machine, int wanted) {
        Resources expected =
                stopFor(
                        job,
                        machine,
                        reservations.unreservedBalance(machine, null),
                        job.taskResources);
        // What is freed is reserved, so that no other job takes it.
        int made = 0;
        while (made < wanted
                && expected.contains(job.taskResources)
                && reservations.reserve(job, machine, job.taskResources, true, true) != null) {
            expected = expected.minus(job.taskResources);
            made++;
        }
        return made;
    }

    /**
     * Stops tasks until what is free suffices, or none if it never would; returns what will be
     * free.
     */
    private Resources stopFor(Job job, Machine machine, Resources free, Resources needed) {
        Resources expected = free;
        List<TaskAttempt> victims = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.isStopping()) {
                expected = expected.plus(attempt.job.taskResources);
            } else if (mayStop(job, attempt)) {
                victims.add(attempt);
            }
        }
        victims.sort(VICTIM_ORDER);
        List<TaskAttempt> chosen = new ArrayList<>();
        for (TaskAttempt victim : victims) {
            if (expected.contains(needed)) {
                break;
            }
            chosen.add(victim);
            expected = expected.plus(victim.job.taskResources);
        }
        if (!expected.contains(needed)) {
            return Resources.NONE;
        }
        for (TaskAttempt victim : chosen) {
            state.log(
                    LogEntry.info(LogEvent.TASK_PREEMPTED)
                            .with("task", victim.taskId())
                            .with("machine", machine.host)
                            .with("for_job", job.jobId()));
            stop(victim);
        }
        return expected;
    }

    private void stop(TaskAttempt victim) {
        victim.job.onPreempted(state.nowMicros());
        if (victim.wasNeverSent()) {
            victim.job.removeAttempt(victim);
            victim.job.persistence.requestWrite(PersistenceState.WriteUrgency.TASK_ENDED);
            state.requestPlacement();
        } else {
            victim.requestStop(
                    victim.job.description.checkpointIntervalSeconds() > 0
                            ? victim.job.description.checkpointCostSeconds()
                            : 0);
        }
    }

    /**
     * True for a lower priority, or a borrower of the same one. A guarantee could stop borrowers of
     * a higher priority as well; those would then stop the job in turn, and so on.
     */
    private boolean mayStop(Job job, TaskAttempt attempt) {
        Job other = attempt.job;
        int order = other.priority().compareTo(job.priority());
        if (order != 0) {
            return order < 0;
        }
        return other.teamQuota != job.teamQuota
                && !other.isWithinGuarantee()
                && other.teamQuota.exceedsGuarantee()
                && job.isWithinGuarantee()
                && job.teamQuota.staysWithinGuarantee(job.taskResources);
    }
}
