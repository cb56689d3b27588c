package org.woadloom.core.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.placement.IncrementalSearch;
import org.woadloom.core.placement.PlacementConstraints;
import org.woadloom.core.placement.Resources;

/**
 * Makes reservations for gangs, and for single tasks that take a large part of a machine, so that
 * smaller tasks do not keep taking the resources that these wait for.
 *
 * <p>At most one job at a time holds reservations in a zone, the job that has waited longest first.
 * Its reservations are renewed until its tasks are placed. If one of them fails, all are released
 * and the job queues again.
 */
public final class GangReservationPlanner {
    /** Half of what the placement search may examine in the same step. */
    private static final int MAX_MACHINES_PER_STEP = 100_000;

    private final SchedulerState state;
    private final PlacementConstraints constraints;
    private final Reservations reservations;

    /** The job that holds reservations in a zone; a gang may do so in several zones. */
    private final Map<String, Job> reservingJobByZone = new LinkedHashMap<>();

    /** When a reservation of the job last failed; its waiting time counts from then. */
    private final Map<Job, Long> requeuedSinceMicros = new LinkedHashMap<>();

    private final Map<Job, Long> lastRenewalMicros = new LinkedHashMap<>();

    private final IncrementalSearch search = new IncrementalSearch(MAX_MACHINES_PER_STEP);

    public GangReservationPlanner(
            SchedulerState state, PlacementConstraints constraints, Reservations reservations) {
        this.state = state;
        this.constraints = constraints;
        this.reservations = reservations;
    }

    /**
     * How many machines the planner has examined in this term; a machine counts once for each job
     * it is examined for.
     */
    public long machinesExamined() {
        return search.machinesExamined();
    }

    /**
     * True for gangs, and for jobs whose tasks take a large part of every machine type they may
     * use.
     */
    public boolean needsReservations(Job job) {
        return job.description.isGang() || isLargeTask(job);
    }

    private boolean isLargeTask(Job job) {
        double share = state.settings().operator().largeTaskShare();
        boolean fitsAnyType = false;
        for (var type : state.machineTypes().values()) {
            if (type.fits(job.description)
                    && (job.description.machineTypes() == null
                            || job.description.machineTypes().contains(type.name()))) {
                fitsAnyType = true;
                Resources size = Resources.of(type);
                if (job.taskResources.cpu() < size.cpu() * share
                        && job.taskResources.memory() < size.memory() * share
                        && (size.gpu() == 0 || job.taskResources.gpu() < size.gpu() * share)) {
                    return false;
                }
            }
        }
        return fitsAnyType;
    }

    /**
     * Requeues jobs whose reservations failed, releases the reservations of jobs that need none any
     * more, and renews the others. Must be called in every pass: reservations expire even while a
     * placement search that spans several steps is unfinished.
     *
     * @param failed the reservations that failed since the last call
     */
    public void maintain(List<Reservation> failed) {
        requeueFailed(failed);
        releaseUnneeded();
        for (Job job : new LinkedHashSet<>(reservingJobByZone.values())) {
            renewIfDue(job);
        }
        requeuedSinceMicros.keySet().removeIf(job -> !state.jobs().containsKey(job.jobId()));
    }

    /**
     * Makes reservations for the jobs that have waited longest. To be called when a placement
     * search is complete.
     *
     * @param queue the jobs with pending tasks
     */
    public void reserve(List<Job> queue) {
        reserveInOrder(jobsToReserveFor(queue));
    }

    private void requeueFailed(List<Reservation> failed) {
        for (Reservation reservation : failed) {
            if (reservingJobByZone.containsValue(reservation.owner)) {
                state.log(
                        LogEntry.info(LogEvent.RESERVATION_FAILED)
                                .with("job", reservation.owner.jobId())
                                .with("machine", reservation.machine.host));
                requeuedSinceMicros.put(reservation.owner, state.nowMicros());
                releaseAll(reservation.owner);
            }
        }
    }

    private void releaseUnneeded() {
        for (Job job : new ArrayList<>(reservingJobByZone.values())) {
            if (job.isTerminal()
                    || job.pendingTaskCount() == 0
                    || state.jobs().get(job.jobId()) != job) {
                releaseAll(job);
            }
        }
    }

    /** The jobs that need reservations and have none, the longest waiting first. */
    private List<Job> jobsToReserveFor(List<Job> queue) {
        List<Job> waiting = new ArrayList<>();
        for (Job job : queue) {
            if (needsReservations(job) && !reservingJobByZone.containsValue(job)) {
                waiting.add(job);
            }
        }
        waiting.sort(
                Comparator.comparingLong(
                                (Job job) ->
                                        requeuedSinceMicros.getOrDefault(
                                                job, job.queuedSinceMicros()))
                        .thenComparing(Job::jobId));
        return waiting;
    }

    private void releaseAll(Job job) {
        reservingJobByZone.values().removeIf(holder -> holder == job);
        lastRenewalMicros.remove(job);
        for (Reservation reservation : reservations.reservationsOf(job)) {
            reservations.release(reservation);
        }
    }

    /**
     * Makes reservations for the jobs in this order until no zone is left without one or the step
     * has examined its share of machines; the next step continues with the jobs that were not
     * tried.
     */
    private void reserveInOrder(List<Job> waiting) {
        Set<String> freeZones = freeZones();
        List<Machine> accepting = acceptingMachines();
        search.beginStep();
        for (Job job : waiting) {
            if (freeZones.isEmpty()) {
                break;
            }
            if (search.isVisited(job)) {
                continue;
            }
            if (!search.mayExamine((long) accepting.size() * (freeZones.size() + 1))) {
                return;
            }
            search.markVisited(job);
            if (tryReserve(job, freeZones, accepting)) {
                freeZones.removeAll(reservingJobByZone.keySet());
            }
        }
        search.reset();
    }

    private List<Machine> acceptingMachines() {
        List<Machine> accepting = new ArrayList<>();
        for (Machine machine : state.machines().values()) {
            if (constraints.acceptsTasks(machine)) {
                accepting.add(machine);
            }
        }
        return accepting;
    }

    /** The zones that have machines and in which no job holds reservations. */
    private Set<String> freeZones() {
        Set<String> free = new LinkedHashSet<>();
        search.addExamined(state.machines().size());
        for (Machine machine : state.machines().values()) {
            if (!reservingJobByZone.containsKey(machine.zone)) {
                free.add(machine.zone);
            }
        }
        return free;
    }

    private boolean tryReserve(Job job, Set<String> freeZones, List<Machine> accepting) {
        int taskCount = job.description.isGang() ? job.pendingTaskCount() : 1;
        if (job.allowedTasks() < taskCount) {
            return false;
        }
        for (Set<String> zones : zoneSetsToTry(job, freeZones)) {
            List<Machine> chosen = chooseMachines(job, taskCount, zones, accepting);
            if (chosen == null) {
                continue;
            }
            if (reserveAll(job, chosen)) {
                chosen.forEach(machine -> reservingJobByZone.put(machine.zone, job));
                lastRenewalMicros.put(job, state.nowMicros());
                state.log(
                        LogEntry.info(LogEvent.RESERVATIONS_MADE)
                                .with("job", job.jobId())
                                .with("tasks", taskCount));
                return true;
            }
        }
        return false;
    }

    /** Reserves for one task on each of the machines, or on none if that fails for one of them. */
    private boolean reserveAll(Job job, List<Machine> machines) {
        List<Reservation> made = new ArrayList<>();
        for (Machine machine : machines) {
            Reservation reservation =
                    reservations.reserve(job, machine, job.taskResources, true, true);
            if (reservation == null) {
                made.forEach(reservations::release);
                return false;
            }
            made.add(reservation);
        }
        return true;
    }

    /**
     * The sets of zones to try in turn: each free zone alone, then, unless all tasks must be in one
     * zone, all free zones together.
     */
    private static List<Set<String>> zoneSetsToTry(Job job, Set<String> freeZones) {
        List<Set<String>> choices = new ArrayList<>();
        for (String zone : freeZones) {
            choices.add(Set.of(zone));
        }
        if (!job.description.sameZone() && freeZones.size() > 1) {
            choices.add(freeZones);
        }
        return choices;
    }

    /**
     * Chooses a machine for each task, preferring those with the most free CPU; null if not all
     * tasks fit.
     */
    private List<Machine> chooseMachines(
            Job job, int taskCount, Set<String> zones, List<Machine> accepting) {
        List<Machine> candidates = machinesByFreeCpu(job, zones, accepting);
        int maxPerZone = PlacementConstraints.maxTasksPerZone(job.description);
        Map<String, Integer> chosenByZone = new LinkedHashMap<>();
        List<Machine> chosen = new ArrayList<>();
        for (Machine machine : candidates) {
            int fitting = machine.capacity().countFitting(job.taskResources);
            while (fitting > 0
                    && chosen.size() < taskCount
                    && job.attemptCountInZone(machine.zone)
                                    + chosenByZone.getOrDefault(machine.zone, 0)
                            < maxPerZone) {
                chosen.add(machine);
                chosenByZone.merge(machine.zone, 1, Integer::sum);
                fitting--;
            }
        }
        return chosen.size() == taskCount ? chosen : null;
    }

    private List<Machine> machinesByFreeCpu(Job job, Set<String> zones, List<Machine> accepting) {
        List<Machine> candidates = new ArrayList<>();
        search.addExamined(accepting.size());
        for (Machine machine : accepting) {
            if (zones.contains(machine.zone)
                    && constraints.allows(job, machine)
                    && machine.capacity().contains(job.taskResources)
                    && !job.failedOnHosts.contains(machine.host)) {
                candidates.add(machine);
            }
        }
        candidates.sort(
                Comparator.comparingLong(
                        (Machine machine) -> -reservations.unreserved(machine, job).cpu()));
        return candidates;
    }

    /**
     * Renews the reservations of the job at intervals. Reservations that are not renewed expire,
     * and their resources become available to other jobs.
     */
    private void renewIfDue(Job job) {
        if (state.nowMicros() - lastRenewalMicros.getOrDefault(job, state.nowMicros())
                < state.settings().operator().reservationRenewMicros()) {
            return;
        }
        lastRenewalMicros.put(job, state.nowMicros());
        for (Reservation reservation : reservations.reservationsOf(job)) {
            reservations.renew(reservation);
        }
    }
}
