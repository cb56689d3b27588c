package org.woadloom.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.reservation.Reservation;
import org.woadloom.core.reservation.Reservations;

/**
 * Assigns pending tasks to machines, in the order of {@link QueueOrder}.
 *
 * <p>In a large fleet, a search for all waiting jobs is split into steps, because the leader must
 * renew its lease and respond to heartbeats in between. A step ends before the job that would
 * exceed its budget, and the next one resumes there.
 */
public final class TaskPlacer {
    /** Even on a slow CPU, such a step takes a small fraction of the lease on the leader key. */
    private static final int MAX_MACHINES_PER_STEP = 200_000;

    private final SchedulerState state;
    private final PlacementConstraints constraints;
    private final Reservations reservations;
    private final QueueOrder order;

    private final IncrementalSearch search = new IncrementalSearch(MAX_MACHINES_PER_STEP);

    /** Requests for which the current search found no machine. */
    private final List<ResourceRequest> unsatisfiedRequests = new ArrayList<>();

    public TaskPlacer(
            SchedulerState state, PlacementConstraints constraints, Reservations reservations) {
        this.state = state;
        this.constraints = constraints;
        this.reservations = reservations;
        this.order = new QueueOrder(state);
    }

    /**
     * Returns the jobs with pending tasks that may be placed now, in the order in which they are
     * served.
     */
    public List<Job> placementQueue() {
        List<Job> jobs = new ArrayList<>();
        for (Job job : state.jobs().values()) {
            if (job.pendingTaskCount() > 0 && job.placeNotBeforeMicros() <= state.nowMicros()) {
                jobs.add(job);
            }
        }
        return order.sorted(jobs);
    }

    /**
     * Number of machines that the searches of this term have examined; a machine counts once for
     * each job.
     */
    public long machinesExamined() {
        return search.machinesExamined();
    }

    /**
     * Places the pending tasks that fit, in queue order, as far as the budget of one step allows.
     *
     * @return true if every job had its turn; otherwise the next call continues
     */
    public boolean place() {
        long attemptNumber = state.newAttemptNumber();
        search.beginStep();
        List<Machine> openMachines = null;
        for (Job job : placementQueue()) {
            boolean hasReservation = reservations.countFor(job) > 0;
            if (search.isVisited(job) || (!hasReservation && canSkip(job))) {
                continue;
            }
            if (openMachines == null) {
                openMachines = openMachines();
            }
            if (!search.mayExamine(searchCost(job, openMachines))) {
                return false;
            }
            search.markVisited(job);
            if (placeJob(job, attemptNumber, openMachines)
                    && !hasReservation
                    && ResourceRequest.isRepresentative(job)) {
                unsatisfiedRequests.add(ResourceRequest.of(job));
            }
        }
        search.reset();
        unsatisfiedRequests.clear();
        return true;
    }

    /** Maximum number of machines that a search for the job examines. */
    private int searchCost(Job job, List<Machine> openMachines) {
        return openMachines.size() + (job.description.isGang() ? state.machines().size() : 0);
    }

    /**
     * True if a job without a reservation needs no search: it is backing off, its team's limit is
     * reached, or a request for no more than it needs found no machine.
     */
    private boolean canSkip(Job job) {
        if (!job.description.isService() && job.isBackingOff(state.nowMicros())) {
            return true;
        }
        return job.allowedTasks() < 1
                || unsatisfiedRequests.stream().anyMatch(request -> request.covers(job));
    }

    /**
     * Machines that accept tasks and have free resources. The list stays valid for a pass, in which
     * they only fill up.
     */
    private List<Machine> openMachines() {
        List<Machine> openMachines = new ArrayList<>();
        for (Machine machine : state.machines().values()) {
            Resources free = machine.balance();
            if ((free.cpu() > 0 || free.memory() > 0 || free.gpu() > 0)
                    && constraints.acceptsTasks(machine)) {
                openMachines.add(machine);
            }
        }
        return openMachines;
    }

    /** Places tasks of a job; returns true if the machines lack the resources for another one. */
    private boolean placeJob(Job job, long attemptNumber, List<Machine> openMachines) {
        RecordSizeEstimate size =
                RecordSizeEstimate.of(job, state.maxValueBytes(), state.recordFormat());
        if (!size.fitsOneMore(job.nextPending(0))
                || (job.description.isGang()
                        && !gangFits(
                                job,
                                size.maxMoreTasks(job.nextPending(0), job.pendingTaskCount())))) {
            return false;
        }
        search.addExamined(openMachines.size());
        CandidateMachines candidates =
                new CandidateMachines(
                        job, openMachines, state.scarceZones(), constraints, reservations);
        int placed = 0;
        boolean lacksMachine = false;
        for (int index = job.nextPending(0);
                index != Job.NO_TASK && size.fitsOneMore(index);
                index = job.nextPending(index + 1)) {
            Machine machine = candidates.next();
            if (machine == null) {
                lacksMachine = job.allowedTasks() >= 1;
                break;
            }
            TaskAttempt taskAttempt =
                    new TaskAttempt(
                            job,
                            index,
                            machine,
                            attemptNumber,
                            job.persistence.nextVersion(),
                            state.nowMicros());
            reservations.allocateTo(taskAttempt);
            job.addAttempt(taskAttempt);
            size.add(index, machine);
            job.persistence.requestWrite(PersistenceState.WriteUrgency.IMMEDIATE);
            candidates.onPlaced();
            placed++;
        }
        if (placed > 0) {
            logPlaced(job, placed);
        }
        return lacksMachine;
    }

    private void logPlaced(Job job, int placed) {
        state.log(
                LogEntry.debug(LogEvent.TASKS_PLACED)
                        .with("job", job.jobId())
                        .with("tasks", placed)
                        .with("pending", job.pendingTaskCount())
                        .with("tasks_by_zone", job.attemptCountByZone()));
    }

    /** True if all remaining tasks of a gang fit at once; it starts only then. */
    private boolean gangFits(Job job, int maxTasks) {
        int wanted = job.pendingTaskCount();
        if (wanted > maxTasks) {
            return false;
        }
        Map<String, Integer> fitsByZone = gangFitsByZone(job);
        Resources credit = Resources.NONE;
        for (Reservation reservation : reservations.reservationsOf(job)) {
            credit = credit.plus(reservation.remaining());
        }
        if (job.allowedTasks(credit) < wanted) {
            return false;
        }
        int maxPerZone = PlacementConstraints.maxTasksPerZone(job.description);
        int largest = 0;
        int sum = 0;
        for (Map.Entry<String, Integer> entry : fitsByZone.entrySet()) {
            int fits =
                    Math.min(entry.getValue(), maxPerZone - job.attemptCountInZone(entry.getKey()));
            largest = Math.max(largest, fits);
            sum += fits;
        }
        return (job.description.sameZone() ? largest : sum) >= wanted;
    }

    private Map<String, Integer> gangFitsByZone(Job job) {
        search.addExamined(state.machines().size());
        Map<String, Integer> fitsByZone = new LinkedHashMap<>();
        for (Machine machine : state.machines().values()) {
            if (constraints.acceptsTasks(machine)
                    && constraints.allows(job, machine)
                    && !job.failedOnHosts.contains(machine.host)) {
                fitsByZone.merge(
                        machine.zone,
                        reservations.unreserved(machine, job).countFitting(job.taskResources),
                        Integer::sum);
            }
        }
        return fitsByZone;
    }
}
