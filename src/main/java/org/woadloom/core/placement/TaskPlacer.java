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

/** Decides what runs where, in the order of {@link QueueOrder}. */
public final class TaskPlacer {

    private final SchedulerState state;
    private final PlacementConstraints constraints;
    private final Reservations reservations;
    private final QueueOrder order;

    public TaskPlacer(
            SchedulerState state, PlacementConstraints constraints, Reservations reservations) {
        this.state = state;
        this.constraints = constraints;
        this.reservations = reservations;
        this.order = new QueueOrder(state);
    }

    /** Jobs with pending tasks that may be placed now, in the order in which they are served. */
    public List<Job> queue() {
        List<Job> jobs = new ArrayList<>();
        for (Job job : state.jobs().values()) {
            if (job.pendingTasks() > 0 && job.placeNotBeforeMicros() <= state.nowMicros()) {
                jobs.add(job);
            }
        }
        return order.sorted(jobs);
    }

    /** Places what finds room. */
    public void place() {
        long attempt = state.newAttempt();
        List<Machine> openMachines = null;
        List<ResourceRequest> unsatisfied = new ArrayList<>();
        for (Job job : queue()) {
            boolean hasReservation = reservations.countFor(job) > 0;
            if (!hasReservation
                    && !job.description.isService()
                    && job.isBackingOff(state.nowMicros())) {
                continue;
            }
            // Without a reservation to draw from, the limit and what others did not find decide at
            // once.
            if (!hasReservation
                    && (job.allowedTasks() < 1
                            || unsatisfied.stream().anyMatch(shape -> shape.covers(job)))) {
                continue;
            }
            if (openMachines == null) {
                openMachines = openMachines();
            }
            if (placeJob(job, attempt, openMachines)
                    && !hasReservation
                    && ResourceRequest.isRepresentative(job)) {
                unsatisfied.add(ResourceRequest.of(job));
            }
        }
    }

    /** Machines that take tasks and have anything left; in one pass they only get fuller. */
    private List<Machine> openMachines() {
        List<Machine> openMachines = new ArrayList<>();
        for (Machine machine : state.machines().values()) {
            Resources room = machine.balance();
            if ((room.cpu() > 0 || room.memory() > 0 || room.gpu() > 0)
                    && constraints.acceptsTasks(machine)) {
                openMachines.add(machine);
            }
        }
        return openMachines;
    }

    /** Returns true if the machines have no room for another task of the job. */
    private boolean placeJob(Job job, long attempt, List<Machine> openMachines) {
        RecordSizeEstimate size = RecordSizeEstimate.of(job, state.valueBytes(), state.format());
        if (!size.fitsOneMore(job.nextPending(0))
                || job.description.isGang()
                        && !gangFits(
                                job, size.maxMoreTasks(job.nextPending(0), job.pendingTasks()))) {
            return false;
        }
        CandidateMachines candidates =
                new CandidateMachines(
                        job, openMachines, state.scarceZones(), constraints, reservations);
        int placed = 0;
        boolean full = false;
        for (int index = job.nextPending(0);
                index >= 0 && size.fitsOneMore(index);
                index = job.nextPending(index + 1)) {
            Machine machine = candidates.next();
            if (machine == null) {
                full = job.allowedTasks() >= 1;
                break;
            }
            TaskAttempt taskAttempt =
                    new TaskAttempt(
                            job,
                            index,
                            machine,
                            attempt,
                            job.persistence.nextVersion(),
                            state.nowMicros());
            reservations.draw(taskAttempt);
            job.add(taskAttempt);
            size.add(index, machine);
            job.persistence.requestWrite(PersistenceState.WriteReason.IMMEDIATE);
            candidates.onPlaced();
            placed++;
        }
        if (placed > 0) {
            state.log(
                    LogEntry.debug(LogEvent.TASKS_PLACED)
                            .with("job", job.jobId())
                            .with("tasks", placed)
                            .with("pending", job.pendingTasks())
                            .with("tasks_by_zone", job.tasksByZone()));
        }
        return full;
    }

    /** A gang starts only when all of its tasks that are left find room at once. */
    private boolean gangFits(Job job, int maxTasks) {
        int wanted = job.pendingTasks();
        if (wanted > maxTasks) {
            return false;
        }
        Map<String, Integer> fitsByZone = new LinkedHashMap<>();
        Resources credit = Resources.NONE;
        for (Machine machine : state.machines().values()) {
            if (constraints.acceptsTasks(machine)
                    && constraints.allows(job, machine)
                    && !job.failedOn.contains(machine.host)) {
                fitsByZone.merge(
                        machine.zone,
                        reservations.unreserved(machine, job).count(job.taskResources),
                        Integer::sum);
            }
        }
        for (Reservation reservation : reservations.of(job)) {
            credit = credit.plus(reservation.remaining());
        }
        if (job.allowedTasks(credit) < wanted) {
            return false;
        }
        int largest = 0;
        int sum = 0;
        int maxPerZone =
                job.description.spreadAcrossZones()
                        ? (job.description.taskCount() + 1) / 2
                        : Integer.MAX_VALUE;
        for (Map.Entry<String, Integer> entry : fitsByZone.entrySet()) {
            int room = Math.min(entry.getValue(), maxPerZone - job.attemptsInZone(entry.getKey()));
            largest = Math.max(largest, room);
            sum += room;
        }
        return (job.description.sameZone() ? largest : sum) >= wanted;
    }
}
