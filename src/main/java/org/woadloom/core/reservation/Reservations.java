package org.woadloom.core.reservation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.placement.Resources;
import org.woadloom.core.reservation.Reservation.Phase;

/**
 * All reservations of this term. They are the leader's working state: a new leader reserves anew.
 * What is held counts against the owner team's limit until it is drawn or released.
 */
public final class Reservations {
    /** What GPUs and memory weigh against processors where two reservations are compared. */
    private static final long CPUS_PER_GPU = 16;

    private static final long GB_PER_CPU = 16;

    private final SchedulerState state;
    private final Map<Long, Reservation> live = new LinkedHashMap<>();

    /**
     * The live ones by machine, in the order in which they were made: hundreds of machines are
     * asked for theirs in a pass.
     */
    private final Map<Machine, List<Reservation>> byMachine = new HashMap<>();

    private final Map<Job, List<Reservation>> byOwner = new HashMap<>();
    private long lastId;

    public Reservations(SchedulerState state) {
        this.state = state;
    }

    /**
     * Reserves resources for a job's tasks.
     *
     * @param template how much
     * @param allocateOnce whether the first task that draws it ends it, whatever is left
     * @param preAllocation skip the check for what is free: the reservation waits until there is
     *     enough
     * @return null if the machine has not got the resources, or the team's limit does not allow it
     */
    public Reservation reserve(
            Job owner,
            Machine machine,
            Resources template,
            boolean allocateOnce,
            boolean preAllocation) {
        if (owner.teamQuota.allowedTasks(template, owner) < 1
                || !machine.capacity().contains(template)) {
            return null;
        }
        if (!preAllocation && !unreserved(machine, null).contains(template)) {
            return null;
        }
        if (!allocateOnce && reusable(owner, machine) != null) {
            // One reusable reservation of an owner on a machine is enough: a second one would only
            // split the resources.
            return null;
        }
        Reservation reservation =
                new Reservation(
                        ++lastId,
                        template,
                        owner,
                        machine,
                        allocateOnce,
                        preAllocation,
                        state.nowMicros() + state.settings().operator().reservationTtlMicros());
        live.put(reservation.id, reservation);
        byMachine.computeIfAbsent(machine, m -> new ArrayList<>(2)).add(reservation);
        byOwner.computeIfAbsent(owner, j -> new ArrayList<>(2)).add(reservation);
        owner.teamQuota.addUsage(template);
        reservation.setPhase(Phase.WAITING);
        updatePhase(reservation);
        return reservation;
    }

    private Reservation reusable(Job owner, Machine machine) {
        for (Reservation reservation : on(machine)) {
            if (reservation.owner == owner && !reservation.allocateOnce) {
                return reservation;
            }
        }
        return null;
    }

    /**
     * A waiting reservation becomes available once what is free covers it and those made before it.
     */
    private void updatePhase(Reservation reservation) {
        if (reservation.phase() != Phase.WAITING) {
            return;
        }
        Resources before = Resources.NONE;
        for (Reservation other : on(reservation.machine)) {
            if (other == reservation) {
                break;
            }
            before = before.plus(other.remaining());
        }
        if (reservation.machine.balance().minus(before).contains(reservation.remaining())) {
            reservation.setPhase(Phase.AVAILABLE);
        }
    }

    /**
     * Brings phases up to date. What expired, or lies on a machine that is not to stay, is
     * released.
     *
     * @return what was released so, though its job still needs it
     */
    public List<Reservation> updatePhases() {
        List<Reservation> failed = new ArrayList<>();
        Map<Job, Integer> held = new LinkedHashMap<>();
        for (Reservation reservation : new ArrayList<>(live.values())) {
            Machine machine = reservation.machine;
            // A job placed elsewhere meanwhile needs no more reservations than it has pending
            // tasks.
            if (reservation.owner.isTerminal()
                    || held.merge(reservation.owner, 1, Integer::sum)
                            > reservation.owner.pendingTaskCount()) {
                release(reservation);
            } else if (state.nowMicros() >= reservation.expiresMicros()
                    || machine.isDeleted()
                    || machine.isDecommissioning()
                    || machine.spotTerminationMicros() >= 0
                    || !machine.isUp()) {
                release(reservation);
                failed.add(reservation);
            } else {
                updatePhase(reservation);
            }
        }
        return failed;
    }

    /** Gives the resources back; the reservation can't be drawn any more. */
    public void release(Reservation reservation) {
        end(reservation, Phase.FAILED);
        state.requestPlacement();
    }

    private void end(Reservation reservation, Phase phase) {
        if (live.remove(reservation.id) != null) {
            removeFrom(byMachine, reservation.machine, reservation);
            removeFrom(byOwner, reservation.owner, reservation);
            reservation.owner.teamQuota.subtractUsage(reservation.remaining());
            reservation.setPhase(phase);
        }
    }

    private static <K> void removeFrom(
            Map<K, List<Reservation>> index, K key, Reservation reservation) {
        List<Reservation> list = index.get(key);
        list.remove(reservation);
        if (list.isEmpty()) {
            index.remove(key);
        }
    }

    private List<Reservation> on(Machine machine) {
        return byMachine.getOrDefault(machine, List.of());
    }

    /** Puts the expiry off. */
    public void renew(Reservation reservation) {
        reservation.renew(state.nowMicros() + state.settings().operator().reservationTtlMicros());
    }

    /** What is free on the machine without what is reserved for others than this job. */
    public Resources unreserved(Machine machine, Job job) {
        return unreservedBalance(machine, job).clampToNonNegative();
    }

    /** The same, negative where reservations wait for resources that are still in use. */
    public Resources unreservedBalance(Machine machine, Job job) {
        Resources free = machine.balance();
        List<Reservation> here = byMachine.get(machine);
        if (here == null) {
            return free;
        }
        for (Reservation reservation : here) {
            if (reservation.owner != job) {
                free = free.minus(reservation.remaining());
            }
        }
        return free;
    }

    /**
     * The reservation from which a task of the job draws first on this machine: the one from which
     * it gets most, and among reusable ones the earliest.
     */
    public Reservation bestMatch(Job job, Machine machine) {
        List<Reservation> here = byMachine.get(machine);
        if (here == null) {
            return null;
        }
        Reservation best = null;
        for (Reservation reservation : here) {
            if (reservation.owner != job || reservation.phase() != Phase.AVAILABLE) {
                continue;
            }
            if (best == null
                    || ((best.allocateOnce || reservation.allocateOnce)
                            && drawnValue(reservation, job) > drawnValue(best, job))) {
                best = reservation;
            }
        }
        return best;
    }

    private static long drawnValue(Reservation reservation, Job job) {
        Resources drawable = reservation.allocatableTo(job.taskResources);
        return drawable.cpu() + drawable.gpu() * CPUS_PER_GPU + drawable.memory() / GB_PER_CPU;
    }

    /**
     * What the job's team gets back from its limit when a task of the job draws the reservation.
     */
    public Resources quotaCredit(Job job, Machine machine) {
        Reservation reservation = bestMatch(job, machine);
        if (reservation == null) {
            return Resources.NONE;
        }
        return reservation.allocateOnce
                ? reservation.remaining()
                : reservation.allocatableTo(job.taskResources);
    }

    /** To be called before the attempt is added: what it takes moves from the reservation to it. */
    public void allocateTo(TaskAttempt attempt) {
        Reservation reservation = bestMatch(attempt.job, attempt.machine);
        if (reservation == null) {
            return;
        }
        Resources drawn = reservation.allocatableTo(attempt.job.taskResources);
        if (reservation.allocateOnce) {
            end(reservation, Phase.SUCCEEDED);
            reservation.allocate(drawn);
        } else {
            reservation.owner.teamQuota.subtractUsage(drawn);
            reservation.allocate(drawn);
            if (reservation.remaining().equals(Resources.NONE)) {
                end(reservation, Phase.SUCCEEDED);
            }
        }
    }

    /** The live reservations of a job, in the order in which they were made. */
    public List<Reservation> reservationsOf(Job job) {
        List<Reservation> owned = byOwner.get(job);
        return owned == null ? List.of() : List.copyOf(owned);
    }

    /**
     * For how many tasks of the job no scale-out is needed. A gang's waiting reservations do not
     * count: what they wait for may run long.
     */
    public int tasksNotNeedingScaleOut(Job job) {
        int count = 0;
        for (Reservation reservation : byOwner.getOrDefault(job, List.of())) {
            if (reservation.phase() == Phase.AVAILABLE || !job.description.isGang()) {
                count++;
            }
        }
        return count;
    }

    /** How many reservations the job has, whether they wait or not. */
    public int countFor(Job job) {
        return byOwner.getOrDefault(job, List.of()).size();
    }

    /**
     * True if anything is reserved for a job of the team other than this one, which counts against
     * the limit.
     */
    public boolean hasOtherOwnerInTeam(Job job) {
        for (Job owner : byOwner.keySet()) {
            if (owner != job && owner.teamQuota == job.teamQuota) {
                return true;
            }
        }
        return false;
    }

    /** How many are live. */
    public int count() {
        return live.size();
    }

    public boolean hasReservations(Machine machine) {
        return byMachine.containsKey(machine);
    }
}
