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
import org.woadloom.core.placement.PlacementConstraints;
import org.woadloom.core.placement.Resources;

/**
 * Gathers room for gangs, and for tasks too big for the free room of any machine now. In each zone
 * one job gathers at a time, the oldest first; its reservations are renewed while it does. If one
 * of them fails, all are released and the job queues again.
 */
public final class GangReservationPlanner {
    private final SchedulerState world;
    private final PlacementConstraints eligibility;
    private final Reservations reservations;

    /** Who gathers in a zone; a gang that may spread over zones holds several. */
    private final Map<String, Job> byYard = new LinkedHashMap<>();

    private final Map<Job, Long> requeuedMicros = new LinkedHashMap<>();
    private final Map<Job, Long> renewedMicros = new LinkedHashMap<>();

    public GangReservationPlanner(
            SchedulerState world, PlacementConstraints eligibility, Reservations reservations) {
        this.world = world;
        this.eligibility = eligibility;
        this.reservations = reservations;
    }

    /**
     * True for jobs that reserve: gangs, and tasks that take a large part of the machines they may
     * use.
     */
    public boolean gathers(Job job) {
        return job.description.isGang() || big(job);
    }

    private boolean big(Job job) {
        double share = world.settings.operator().bigTaskShare();
        boolean allowedAnywhere = false;
        for (var type : world.types.values()) {
            if (type.fits(job.description)
                    && (job.description.machineTypes() == null
                            || job.description.machineTypes().contains(type.name()))) {
                allowedAnywhere = true;
                Resources size = Resources.of(type);
                if (job.room.cpu() < size.cpu() * share
                        && job.room.memory() < size.memory() * share
                        && (size.gpu() == 0 || job.room.gpu() < size.gpu() * share)) {
                    return false;
                }
            }
        }
        return allowedAnywhere;
    }

    /** Takes note of reservations that failed, ends turns that are over and begins new ones. */
    public void gather(List<Reservation> failed, List<Job> queue) {
        for (Reservation reservation : failed) {
            if (byYard.containsValue(reservation.owner)) {
                world.log(
                        LogEntry.info(LogEvent.RESERVATION_FAILED)
                                .with("job", reservation.owner.jobId())
                                .with("machine", reservation.machine.host));
                giveUp(reservation.owner);
            }
        }
        for (Job job : new ArrayList<>(byYard.values())) {
            if (job.over() || job.pending() == 0 || world.jobs.get(job.jobId()) != job) {
                end(job);
            }
        }
        List<Job> waiting = new ArrayList<>();
        for (Job job : queue) {
            if (gathers(job) && !byYard.containsValue(job)) {
                waiting.add(job);
            }
        }
        waiting.sort(
                Comparator.comparingLong(
                                (Job job) -> requeuedMicros.getOrDefault(job, job.sinceMicros()))
                        .thenComparing(Job::jobId));
        for (Job job : waiting) {
            begin(job);
        }
        for (Job job : new LinkedHashSet<>(byYard.values())) {
            renew(job);
        }
        requeuedMicros.keySet().removeIf(job -> !world.jobs.containsKey(job.jobId()));
    }

    private void giveUp(Job job) {
        requeuedMicros.put(job, world.nowMicros);
        end(job);
    }

    private void end(Job job) {
        byYard.values().removeIf(holder -> holder == job);
        renewedMicros.remove(job);
        for (Reservation reservation : reservations.of(job)) {
            reservations.release(reservation);
        }
    }

    private void begin(Job job) {
        int wanted = job.description.isGang() ? job.pending() : 1;
        for (Set<String> zones : choices(job)) {
            List<Machine> chosen = choose(job, wanted, zones);
            if (chosen == null) {
                continue;
            }
            List<Reservation> made = new ArrayList<>();
            for (Machine machine : chosen) {
                Reservation reservation = reservations.reserve(job, machine, job.room, true, true);
                if (reservation == null) {
                    break;
                }
                made.add(reservation);
            }
            if (made.size() < chosen.size()) {
                made.forEach(reservations::release);
                continue;
            }
            chosen.forEach(machine -> byYard.put(machine.zone, job));
            renewedMicros.put(job, world.nowMicros);
            world.log(
                    LogEntry.info(LogEvent.RESERVATIONS_MADE)
                            .with("job", job.jobId())
                            .with("tasks", wanted));
            return;
        }
    }

    /**
     * The sets of zones in which the job may gather: one zone each where all must be together, else
     * all free ones.
     */
    private List<Set<String>> choices(Job job) {
        Set<String> open = new LinkedHashSet<>();
        for (Machine machine : world.machines.values()) {
            if (!byYard.containsKey(machine.zone)) {
                open.add(machine.zone);
            }
        }
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
     * Machines for the wanted number of tasks: those that need the least more room first. Null if
     * there are too few.
     */
    private List<Machine> choose(Job job, int wanted, Set<String> zones) {
        List<Machine> candidates = new ArrayList<>();
        for (Machine machine : world.machines.values()) {
            if (zones.contains(machine.zone)
                    && eligibility.takesTasks(machine)
                    && eligibility.allows(job, machine)
                    && machine.size().holds(job.room)
                    && !job.failedOn.contains(machine.host)) {
                candidates.add(machine);
            }
        }
        candidates.sort(
                Comparator.comparingLong(
                        (Machine machine) -> -reservations.unreserved(machine, job).cpu()));
        int perYard =
                job.description.spreadAcrossZones()
                        ? (job.description.taskCount() + 1) / 2
                        : Integer.MAX_VALUE;
        Map<String, Integer> inYard = new LinkedHashMap<>();
        List<Machine> chosen = new ArrayList<>();
        for (Machine machine : candidates) {
            int room = machine.size().count(job.room);
            while (room > 0
                    && chosen.size() < wanted
                    && job.placedIn(machine.zone) + inYard.getOrDefault(machine.zone, 0)
                            < perYard) {
                chosen.add(machine);
                inYard.merge(machine.zone, 1, Integer::sum);
                room--;
            }
        }
        return chosen.size() == wanted ? chosen : null;
    }

    /**
     * Renewal keeps a gathering job's room; a machine that got stuck is then exchanged for one with
     * room.
     */
    private void renew(Job job) {
        if (world.nowMicros - renewedMicros.getOrDefault(job, world.nowMicros)
                < world.settings.operator().reservationRenewMicros()) {
            return;
        }
        renewedMicros.put(job, world.nowMicros);
        for (Reservation reservation : reservations.of(job)) {
            reservations.renew(reservation);
        }
    }
}
