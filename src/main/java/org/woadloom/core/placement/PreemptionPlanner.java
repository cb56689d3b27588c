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
 * Stops running tasks to free resources for waiting jobs: tasks of a lower priority, and, for jobs
 * within their team's guarantee, tasks that another team runs beyond its own guarantee.
 */
public final class PreemptionPlanner {
    /**
     * Minimum interval between moves of replicas to another zone, because each move interrupts the
     * replica.
     */
    private static final long MOVE_INTERVAL_MICROS = 5_000_000;

    /**
     * Minimum interval between searches for a replica to move, because each examines all machines.
     */
    private static final long MOVE_SEARCH_INTERVAL_MICROS = 1_000_000;

    /**
     * Lowest priority first, then tasks beyond their team's guarantee, then tasks that can
     * checkpoint, then the most recently placed.
     */
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

    /**
     * A search that could not free enough on any machine in this pass. Jobs that it covers need no
     * search of their own.
     */
    private record FailedSearch(
            ResourceRequest request, Priority priority, TeamQuota guaranteedTeam) {
        boolean covers(Job job, boolean fromBorrowers) {
            return priority.compareTo(job.priority()) >= 0
                    && (!fromBorrowers || guaranteedTeam == job.teamQuota)
                    && request.covers(job);
        }
    }

    /** Frees resources for waiting jobs, in the order of the queue. */
    public void preemptFor(List<Job> queue) {
        List<FailedSearch> failedSearches = new ArrayList<>();
        for (Job job : queue) {
            if (gangPlanner.needsReservations(job)) {
                preemptOnReservedMachines(job);
                continue;
            }
            // Tasks with a reservation, including those whose resources are still being freed, need
            // nothing more.
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
                            && doesAnyOtherTeamBorrow(job.teamQuota);
            if (failedSearches.stream().noneMatch(failed -> failed.covers(job, fromBorrowers))) {
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

    private boolean doesAnyOtherTeamBorrow(TeamQuota team) {
        for (TeamQuota other : state.teams().values()) {
            if (other != team && other.exceedsGuarantee()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Frees resources on any machine that the job may use; returns the number of tasks that still
     * lack a machine.
     */
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
                missing -= freeResourcesOn(job, machine, missing);
            }
        }
        return missing;
    }

    /**
     * Moves a replica of another service to another zone, to make room for a job that must spread
     * over zones and can use only this one. At most one replica is moved per interval, and only if
     * a machine in another zone has the resources and its image.
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
                Resources expectedFree =
                        reservations
                                .unreservedBalance(machine, null)
                                .plus(attempt.job.taskResources);
                if (attempt.job != job
                        && attempt.job.description.isService()
                        && !attempt.isStopping()
                        && attempt.stage() == TaskAttempt.Stage.CONFIRMED
                        && expectedFree.contains(job.taskResources)
                        && fitsInOtherZone(attempt)
                        && reservations.reserve(job, machine, job.taskResources, true, true)
                                != null) {
                    state.log(
                            LogEntry.info(LogEvent.REPLICA_MOVED)
                                    .with("task", attempt.taskId())
                                    .with("zone", machine.zone)
                                    .with("for_job", job.jobId()));
                    nextReplicaMoveMicros = state.nowMicros() + MOVE_INTERVAL_MICROS;
                    preempt(attempt);
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

    /**
     * Stops tasks on the machines on which a job has reserved resources that are still in use. The
     * job is a gang, or each of its tasks takes a large part of any machine that it may use.
     */
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
            preemptOn(job, machine, reservations.unreservedBalance(machine, job), wanted);
        }
    }

    /** Stops tasks on one machine; returns how many of the job's tasks will fit there. */
    private int freeResourcesOn(Job job, Machine machine, int wanted) {
        Resources expectedFree =
                preemptOn(
                        job,
                        machine,
                        reservations.unreservedBalance(machine, null),
                        job.taskResources);
        // The freed resources are reserved, so that no other job is placed on them.
        int reserved = 0;
        while (reserved < wanted
                && expectedFree.contains(job.taskResources)
                && reservations.reserve(job, machine, job.taskResources, true, true) != null) {
            expectedFree = expectedFree.minus(job.taskResources);
            reserved++;
        }
        return reserved;
    }

    /**
     * Stops tasks until the free resources suffice, or none if stopping all eligible tasks would
     * not; returns the resources that will be free.
     */
    private Resources preemptOn(Job job, Machine machine, Resources free, Resources needed) {
        Resources expectedFree = free;
        List<TaskAttempt> victims = new ArrayList<>();
        for (TaskAttempt attempt : machine.attempts()) {
            if (attempt.isStopping()) {
                expectedFree = expectedFree.plus(attempt.job.taskResources);
            } else if (mayPreempt(job, attempt)) {
                victims.add(attempt);
            }
        }
        victims.sort(VICTIM_ORDER);
        List<TaskAttempt> selected = new ArrayList<>();
        for (TaskAttempt victim : victims) {
            if (expectedFree.contains(needed)) {
                break;
            }
            selected.add(victim);
            expectedFree = expectedFree.plus(victim.job.taskResources);
        }
        if (!expectedFree.contains(needed)) {
            return Resources.NONE;
        }
        for (TaskAttempt victim : selected) {
            state.log(
                    LogEntry.info(LogEvent.TASK_PREEMPTED)
                            .with("task", victim.taskId())
                            .with("machine", machine.host)
                            .with("for_job", job.jobId()));
            preempt(victim);
        }
        return expectedFree;
    }

    private void preempt(TaskAttempt victim) {
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
     * True for a task of lower priority, or of the same priority and beyond its team's guarantee. A
     * guarantee does not entitle a job to stop tasks of a higher priority: they would preempt the
     * job in turn, in a loop.
     */
    private boolean mayPreempt(Job job, TaskAttempt attempt) {
        Job other = attempt.job;
        int priorityOrder = other.priority().compareTo(job.priority());
        if (priorityOrder != 0) {
            return priorityOrder < 0;
        }
        return other.teamQuota != job.teamQuota
                && !other.isWithinGuarantee()
                && other.teamQuota.exceedsGuarantee()
                && job.isWithinGuarantee()
                && job.teamQuota.staysWithinGuarantee(job.taskResources);
    }
}
