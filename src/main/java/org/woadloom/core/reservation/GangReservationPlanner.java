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
 * Accumulates reservations for gangs, and for tasks too large for what is free on any machine now.
 *
 * <p>In each zone one job reserves at a time, the oldest first; its reservations are renewed while
 * it does. If one of them fails, all are released and the job queues again.
 */
public final class GangReservationPlanner {
    /** Half of what a search for placements may examine in the same step. */
    private static final int MAX_MACHINES_PER_STEP = 100_000;

    private final SchedulerState state;
    private final PlacementConstraints constraints;
    private final Reservations reservations;

    /** The job that reserves in a zone; a gang that may spread over zones holds several. */
    private final Map<String, Job> holderByZone = new LinkedHashMap<>();

    /** When a reservation of the job last failed: from then on it waits anew. */
    private final Map<Job, Long> requeuedMicros = new LinkedHashMap<>();

    private final Map<Job, Long> renewedMicros = new LinkedHashMap<>();

    private final IncrementalSearch search = new IncrementalSearch(MAX_MACHINES_PER_STEP);

    public GangReservationPlanner(
            SchedulerState state, PlacementConstraints constraints, Reservations reservations) {
        this.state = state;
        this.constraints = constraints;
        this.reservations = reservations;
    }

    /** How many machines the planning of this term has examined, counted anew for each job. */
    public long machinesExamined() {
        return search.machinesExamined();
    }

    /**
     * True for jobs that reserve: gangs, and tasks that take a large part of the machines they may
     * use.
     */
    public boolean needsReservations(Job job) {
        return job.description.isGang() || isLargeTask(job);
    }

    private boolean isLargeTask(Job job) {
        double share = state.settings().operator().bigTaskShare();
        boolean allowedAnywhere = false;
        for (var type : state.machineTypes().values()) {
            if (type.fits(job.description)
                    && (job.description.machineTypes() == null
                            || job.description.machineTypes().contains(type.name()))) {
                allowedAnywhere = true;
                Resources size = Resources.of(type);
                if (job.taskResources.cpu() < size.cpu() * share
                        && job.taskResources.memory() < size.memory() * share
                        && (size.gpu() == 0 || job.taskResources.gpu() < size.gpu() * share)) {
                    return false;
                }
            }
        }
        return allowedAnywhere;
    }

    /**
     * Lets jobs queue again whose reservations failed, ends what is over, and renews the others; to
     * be called in every pass, as reservations expire whether a search is over or not.
     *
     * @param failed the reservations that failed since the last call
     */
    public void maintain(List<Reservation> failed) {
        requeueFailed(failed);
        endFinished();
        for (Job job : new LinkedHashSet<>(holderByZone.values())) {
            renewIfDue(job);
        }
        requeuedMicros.keySet().removeIf(job -> !state.jobs().containsKey(job.jobId()));
    }

    /**
     * Reserves for the next jobs, those first that have waited longest; to be called once a search
     * for placements is over.
     *
     * @param queue the jobs with pending tasks
     */
    public void reserve(List<Job> queue) {
        reserveFor(waitingByAge(queue));
    }

    private void requeueFailed(List<Reservation> failed) {
        for (Reservation reservation : failed) {
            if (holderByZone.containsValue(reservation.owner)) {
                state.log(
                        LogEntry.info(LogEvent.RESERVATION_FAILED)
                                .with("job", reservation.owner.jobId())
                                .with("machine", reservation.machine.host));
                requeuedMicros.put(reservation.owner, state.nowMicros());
                end(reservation.owner);
            }
        }
    }

    private void endFinished() {
        for (Job job : new ArrayList<>(holderByZone.values())) {
            if (job.isTerminal()
                    || job.pendingTaskCount() == 0
                    || state.jobs().get(job.jobId()) != job) {
                end(job);
            }
        }
    }

    /** The jobs that need reservations and have none, those first that have waited longest. */
    private List<Job> waitingByAge(List<Job> queue) {
        List<Job> waiting = new ArrayList<>();
        for (Job job : queue) {
            if (needsReservations(job) && !holderByZone.containsValue(job)) {
                waiting.add(job);
            }
        }
        waiting.sort(
                Comparator.comparingLong(
                                (Job job) ->
                                        requeuedMicros.getOrDefault(job, job.queuedSinceMicros()))
                        .thenComparing(Job::jobId));
        return waiting;
    }

    private void end(Job job) {
        holderByZone.values().removeIf(holder -> holder == job);
        renewedMicros.remove(job);
        for (Reservation reservation : reservations.reservationsOf(job)) {
            reservations.release(reservation);
        }
    }

    /**
     * Reserves for the jobs in this order as long as there is a zone in which nobody does, and as
     * far as one step may search; the next one goes on with the jobs that were not tried.
     */
    private void reserveFor(List<Job> waiting) {
        Set<String> openZones = openZones();
        List<Machine> accepting = acceptingMachines();
        search.beginStep();
        for (Job job : waiting) {
            if (openZones.isEmpty()) {
                break;
            }
            if (search.isVisited(job)) {
                continue;
            }
            if (!search.mayExamine((long) accepting.size() * (openZones.size() + 1))) {
                return;
            }
            search.markVisited(job);
            if (tryReserve(job, openZones, accepting)) {
                openZones.removeAll(holderByZone.keySet());
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

    /** The zones with machines in which no job reserves. */
    private Set<String> openZones() {
        Set<String> open = new LinkedHashSet<>();
        search.addExamined(state.machines().size());
        for (Machine machine : state.machines().values()) {
            if (!holderByZone.containsKey(machine.zone)) {
                open.add(machine.zone);
            }
        }
        return open;
    }

    private boolean tryReserve(Job job, Set<String> openZones, List<Machine> accepting) {
        int wanted = job.description.isGang() ? job.pendingTaskCount() : 1;
        if (job.allowedTasks() < wanted) {
            return false;
        }
        for (Set<String> zones : zoneChoices(job, openZones)) {
            List<Machine> chosen = chooseMachines(job, wanted, zones, accepting);
            if (chosen == null) {
                continue;
            }
            if (reserveAll(job, chosen)) {
                chosen.forEach(machine -> holderByZone.put(machine.zone, job));
                renewedMicros.put(job, state.nowMicros());
                state.log(
                        LogEntry.info(LogEvent.RESERVATIONS_MADE)
                                .with("job", job.jobId())
                                .with("tasks", wanted));
                return true;
            }
        }
        return false;
    }

    /** Reserves for one task on each of the machines, or, if that fails for one, on none. */
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
     * The sets of zones in which the job may reserve: one zone each where all must be together,
     * else all free ones.
     */
    private static List<Set<String>> zoneChoices(Job job, Set<String> open) {
        List<Set<String>> choices = new ArrayList<>();
        for (String zone : open) {
            choices.add(Set.of(zone));
        }
        if (!job.description.sameZone() && open.size() > 1) {
            choices.add(open);
        }
        return choices;
    }

    /**
     * A machine for each of the wanted number of tasks, those first on which the most is free; null
     * if there are too few.
     */
    private List<Machine> chooseMachines(
            Job job, int wanted, Set<String> zones, List<Machine> accepting) {
        List<Machine> candidates = machinesByFreeCpu(job, zones, accepting);
        int maxPerZone = PlacementConstraints.maxTasksPerZone(job.description);
        Map<String, Integer> chosenByZone = new LinkedHashMap<>();
        List<Machine> chosen = new ArrayList<>();
        for (Machine machine : candidates) {
            int fitting = machine.capacity().countFitting(job.taskResources);
            while (fitting > 0
                    && chosen.size() < wanted
                    && job.attemptCountInZone(machine.zone)
                                    + chosenByZone.getOrDefault(machine.zone, 0)
                            < maxPerZone) {
                chosen.add(machine);
                chosenByZone.merge(machine.zone, 1, Integer::sum);
                fitting--;
            }
        }
        return chosen.size() == wanted ? chosen : null;
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
     * Renews what a job has reserved, at intervals: reservations that are not renewed expire, and
     * others may then use what they held.
     */
    private void renewIfDue(Job job) {
        if (state.nowMicros() - renewedMicros.getOrDefault(job, state.nowMicros())
                < state.settings().operator().reservationRenewMicros()) {
            return;
        }
        renewedMicros.put(job, state.nowMicros());
        for (Reservation reservation : reservations.reservationsOf(job)) {
            reservations.renew(reservation);
        }
    }
}
