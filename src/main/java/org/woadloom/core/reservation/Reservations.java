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
 * All reservations of this term. They exist only in the leader's memory; a new leader makes its
 * own. Reserved resources count against the limit of the owner's team until they are allocated to a
 * task or released.
 */
public final class Reservations {
    /** Weights of GPUs and memory against CPUs where two reservations are compared. */
    private static final long CPUS_PER_GPU = 16;

    private static final long GB_PER_CPU = 16;

    private final SchedulerState state;
    private final Map<Long, Reservation> liveById = new LinkedHashMap<>();

    /**
     * The live reservations by machine, in the order in which they were made. Indexed because one
     * pass looks up those of hundreds of machines.
     */
    private final Map<Machine, List<Reservation>> byMachine = new HashMap<>();

    private final Map<Job, List<Reservation>> byOwner = new HashMap<>();
    private long lastId;

    public Reservations(SchedulerState state) {
        this.state = state;
    }

    /**
     * Reserves resources on a machine for a job's tasks.
     *
     * @param resources the amount to reserve
     * @param allocateOnce whether the first task that uses the reservation ends it, even if
     *     resources are left
     * @param preAllocation whether to reserve resources that are still in use; the reservation then
     *     waits until they are free
     * @return null if the machine lacks the resources, the team's limit does not allow them, or the
     *     job has a reusable reservation on the machine and asks for another
     */
    public Reservation reserve(
            Job owner,
            Machine machine,
            Resources resources,
            boolean allocateOnce,
            boolean preAllocation) {
        if (owner.teamQuota.allowedTasks(resources, owner) < 1
                || !machine.capacity().contains(resources)) {
            return null;
        }
        if (!preAllocation && !unreserved(machine, null).contains(resources)) {
            return null;
        }
        if (!allocateOnce && findReusable(owner, machine) != null) {
            // A second reusable reservation of the same owner on the machine would only split the
            // resources.
            return null;
        }
        Reservation reservation =
                new Reservation(
                        ++lastId,
                        resources,
                        owner,
                        machine,
                        allocateOnce,
                        preAllocation,
                        state.nowMicros() + state.settings().operator().reservationTtlMicros());
        liveById.put(reservation.id, reservation);
        byMachine.computeIfAbsent(machine, m -> new ArrayList<>(2)).add(reservation);
        byOwner.computeIfAbsent(owner, j -> new ArrayList<>(2)).add(reservation);
        owner.teamQuota.addUsage(resources);
        reservation.setPhase(Phase.WAITING);
        updatePhase(reservation);
        return reservation;
    }

    private Reservation findReusable(Job owner, Machine machine) {
        for (Reservation reservation : onMachine(machine)) {
            if (reservation.owner == owner && !reservation.allocateOnce) {
                return reservation;
            }
        }
        return null;
    }

    /**
     * Makes a waiting reservation available once the free resources cover it and all earlier
     * reservations on the machine.
     */
    private void updatePhase(Reservation reservation) {
        if (reservation.phase() != Phase.WAITING) {
            return;
        }
        Resources reservedEarlier = Resources.NONE;
        for (Reservation other : onMachine(reservation.machine)) {
            if (other == reservation) {
                break;
            }
            reservedEarlier = reservedEarlier.plus(other.remaining());
        }
        if (reservation
                .machine
                .balance()
                .minus(reservedEarlier)
                .contains(reservation.remaining())) {
            reservation.setPhase(Phase.AVAILABLE);
        }
    }

    /**
     * Updates the phases of all reservations. Releases those that have expired, those on machines
     * that are going away or are down, and those that their jobs no longer need.
     *
     * @return the released reservations that their jobs still need
     */
    public List<Reservation> updatePhases() {
        List<Reservation> failed = new ArrayList<>();
        Map<Job, Integer> countByOwner = new LinkedHashMap<>();
        for (Reservation reservation : new ArrayList<>(liveById.values())) {
            Machine machine = reservation.machine;
            // A job whose tasks were placed elsewhere in the meantime needs no more reservations
            // than it has pending tasks.
            if (reservation.owner.isTerminal()
                    || countByOwner.merge(reservation.owner, 1, Integer::sum)
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

    /** Ends the reservation and frees its resources. */
    public void release(Reservation reservation) {
        end(reservation, Phase.FAILED);
        state.requestPlacement();
    }

    private void end(Reservation reservation, Phase phase) {
        if (liveById.remove(reservation.id) != null) {
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

    private List<Reservation> onMachine(Machine machine) {
        return byMachine.getOrDefault(machine, List.of());
    }

    /** Extends the reservation by a full time to live from now. */
    public void renew(Reservation reservation) {
        reservation.renew(state.nowMicros() + state.settings().operator().reservationTtlMicros());
    }

    /**
     * The resources on the machine that are neither in use nor reserved for jobs other than the
     * given one.
     */
    public Resources unreserved(Machine machine, Job job) {
        return unreservedBalance(machine, job).clampToNonNegative();
    }

    /**
     * The same as {@link #unreserved}, but negative where reservations wait for resources that are
     * still in use.
     */
    public Resources unreservedBalance(Machine machine, Job job) {
        Resources free = machine.balance();
        List<Reservation> onThisMachine = byMachine.get(machine);
        if (onThisMachine == null) {
            return free;
        }
        for (Reservation reservation : onThisMachine) {
            if (reservation.owner != job) {
                free = free.minus(reservation.remaining());
            }
        }
        return free;
    }

    /**
     * The available reservation that a task of the job would use on this machine: the one that
     * covers most of the task, or the earliest if all of them are reusable. Null if there is none.
     */
    public Reservation bestMatch(Job job, Machine machine) {
        List<Reservation> onThisMachine = byMachine.get(machine);
        if (onThisMachine == null) {
            return null;
        }
        Reservation best = null;
        for (Reservation reservation : onThisMachine) {
            if (reservation.owner != job || reservation.phase() != Phase.AVAILABLE) {
                continue;
            }
            if (best == null
                    || ((best.allocateOnce || reservation.allocateOnce)
                            && allocatableValue(reservation, job) > allocatableValue(best, job))) {
                best = reservation;
            }
        }
        return best;
    }

    private static long allocatableValue(Reservation reservation, Job job) {
        Resources allocatable = reservation.allocatableTo(job.taskResources);
        return allocatable.cpu()
                + allocatable.gpu() * CPUS_PER_GPU
                + allocatable.memory() / GB_PER_CPU;
    }

    /**
     * The reserved resources that no longer count against the team's limit once a task of the job
     * is placed on the machine.
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

    /**
     * Moves resources from the best matching reservation, if there is one, to the attempt. To be
     * called before the attempt is added to its job, which counts its resources against the team's
     * limit.
     */
    public void allocateTo(TaskAttempt attempt) {
        Reservation reservation = bestMatch(attempt.job, attempt.machine);
        if (reservation == null) {
            return;
        }
        Resources allocated = reservation.allocatableTo(attempt.job.taskResources);
        if (reservation.allocateOnce) {
            end(reservation, Phase.SUCCEEDED);
            reservation.allocate(allocated);
        } else {
            reservation.owner.teamQuota.subtractUsage(allocated);
            reservation.allocate(allocated);
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
     * The number of tasks that need no scale-out because they have a reservation. Waiting
     * reservations of a gang do not count, because the tasks that they wait for may run for long.
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

    /** How many live reservations the job has, including waiting ones. */
    public int countFor(Job job) {
        return byOwner.getOrDefault(job, List.of()).size();
    }

    /**
     * True if another job of the same team holds reservations, which count against the team's
     * limit.
     */
    public boolean hasOtherOwnerInTeam(Job job) {
        for (Job owner : byOwner.keySet()) {
            if (owner != job && owner.teamQuota == job.teamQuota) {
                return true;
            }
        }
        return false;
    }

    /** How many live reservations there are. */
    public int count() {
        return liveById.size();
    }

    public boolean hasReservations(Machine machine) {
        return byMachine.containsKey(machine);
    }
}
