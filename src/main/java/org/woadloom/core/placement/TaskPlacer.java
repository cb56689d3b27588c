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

    private final SchedulerState world;
    private final PlacementConstraints eligibility;
    private final Reservations reservations;
    private final QueueOrder order;

    public TaskPlacer(
            SchedulerState world, PlacementConstraints eligibility, Reservations reservations) {
        this.world = world;
        this.eligibility = eligibility;
        this.reservations = reservations;
        this.order = new QueueOrder(world);
    }

    /** Jobs with pending tasks that may be placed now, in the order in which they are served. */
    public List<Job> queue() {
        List<Job> jobs = new ArrayList<>();
        for (Job job : world.jobs.values()) {
            if (job.pending() > 0 && job.notBeforeMicros <= world.nowMicros) {
                jobs.add(job);
            }
        }
        return order.sorted(jobs);
    }

    /** Places what finds room. */
    public void place() {
        long attempt = world.newAttempt();
        List<Machine> open = null;
        List<ResourceRequest> without = new ArrayList<>();
        for (Job job : queue()) {
            boolean holds = reservations.heldFor(job) > 0;
            if (!holds && !job.description.isService() && job.backsOff(world.nowMicros)) {
                continue;
            }
            // Without a reservation to draw from, the limit and what others did not find decide at
            // once.
            if (!holds
                    && (job.allowed() < 1
                            || without.stream().anyMatch(shape -> shape.covers(job)))) {
                continue;
            }
            if (open == null) {
                open = open();
            }
            if (placeJob(job, attempt, open) && !holds && ResourceRequest.plain(job)) {
                without.add(ResourceRequest.of(job));
            }
        }
    }

    /** Machines that take tasks and have anything left; in one pass they only get fuller. */
    private List<Machine> open() {
        List<Machine> open = new ArrayList<>();
        for (Machine machine : world.machines.values()) {
            Resources room = machine.room();
            if ((room.cpu() > 0 || room.memory() > 0 || room.gpu() > 0)
                    && eligibility.takesTasks(machine)) {
                open.add(machine);
            }
        }
        return open;
    }

    /** Returns true if the machines have no room for another task of the job. */
    private boolean placeJob(Job job, long attempt, List<Machine> open) {
        RecordSizeEstimate size = RecordSizeEstimate.of(job, world.valueBytes, world.format);
        if (!size.takesMore(job.nextPending(0))
                || job.description.isGang()
                        && !gangFits(job, size.mostMore(job.nextPending(0), job.pending()))) {
            return false;
        }
        CandidateMachines candidates =
                new CandidateMachines(job, open, world.scarceYards, eligibility, reservations);
        int placed = 0;
        boolean full = false;
        for (int index = job.nextPending(0);
                index >= 0 && size.takesMore(index);
                index = job.nextPending(index + 1)) {
            Machine machine = candidates.next();
            if (machine == null) {
                full = job.allowed() >= 1;
                break;
            }
            TaskAttempt placement =
                    new TaskAttempt(
                            job,
                            index,
                            machine,
                            attempt,
                            job.recording.nextVersion(),
                            world.nowMicros);
            reservations.draw(placement);
            job.add(placement);
            size.add(index, machine);
            job.recording.needs(PersistenceState.WriteReason.LAUNCH);
            candidates.placed();
            placed++;
        }
        if (placed > 0) {
            world.log(
                    LogEntry.debug(LogEvent.TASKS_PLACED)
                            .with("job", job.jobId())
                            .with("tasks", placed)
                            .with("pending", job.pending())
                            .with("tasks_by_zone", job.tasksByZone()));
        }
        return full;
    }

    /** A gang starts only when all of its tasks that are left find room at once. */
    private boolean gangFits(Job job, int most) {
        int wanted = job.pending();
        if (wanted > most) {
            return false;
        }
        Map<String, Integer> perYard = new LinkedHashMap<>();
        Resources credit = Resources.NONE;
        for (Machine machine : world.machines.values()) {
            if (eligibility.takesTasks(machine)
                    && eligibility.allows(job, machine)
                    && !job.failedOn.contains(machine.host)) {
                perYard.merge(
                        machine.zone,
                        reservations.unreserved(machine, job).count(job.room),
                        Integer::sum);
            }
        }
        for (Reservation reservation : reservations.of(job)) {
            credit = credit.plus(reservation.remaining());
        }
        if (job.allowed(credit) < wanted) {
            return false;
        }
        int largest = 0;
        int sum = 0;
        int mostPerYard =
                job.description.spreadAcrossZones()
                        ? (job.description.taskCount() + 1) / 2
                        : Integer.MAX_VALUE;
        for (Map.Entry<String, Integer> entry : perYard.entrySet()) {
            int room = Math.min(entry.getValue(), mostPerYard - job.placedIn(entry.getKey()));
            largest = Math.max(largest, room);
            sum += room;
        }
        return (job.description.sameZone() ? largest : sum) >= wanted;
    }
}
