package org.woadloom.core.reservation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.World;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.Placement;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.placement.Room;
import org.woadloom.core.reservation.Reservation.Phase;

/**
 * All reservations of this term. They are the leader's working state: a new leader gathers again. What is held counts
 * against the owner team's limit until it is drawn or released.
 */
public final class Reservations {
    private final World world;
    private final Map<Long, Reservation> live = new LinkedHashMap<>();
    private long ids;

    public Reservations(World world) {
        this.world = world;
    }

    /**
     * Holds room for a job's tasks.
     *
     * @param preAllocation skip the check for free room: the reservation waits until there is enough
     * @return null if the machine has not got the room, or the team's limit does not allow it
     */
    public Reservation reserve(Job owner, Machine machine, Room template, boolean allocateOnce,
            boolean preAllocation) {
        if (owner.team.allowed(template) < 1 || !machine.size.holds(template)) {
            return null;
        }
        if (!preAllocation && !unreserved(machine, null).holds(template)) {
            return null;
        }
        if (!allocateOnce && reusable(owner, machine) != null) {
            // One reusable reservation of an owner on a machine is enough: a second one would only split the room.
            return null;
        }
        Reservation reservation = new Reservation(++ids, template, owner, machine, allocateOnce, preAllocation,
                world.nowMicros + world.settings.operator().reservationTtlMicros());
        live.put(reservation.id, reservation);
        owner.team.add(template);
        reservation.become(Phase.WAITING);
        settle(reservation);
        return reservation;
    }

    private Reservation reusable(Job owner, Machine machine) {
        for (Reservation reservation : live.values()) {
            if (reservation.owner == owner && reservation.machine == machine && !reservation.allocateOnce) {
                return reservation;
            }
        }
        return null;
    }

    /** A waiting reservation becomes available once the machine's room covers it and those made before it. */
    private void settle(Reservation reservation) {
        if (reservation.phase() != Phase.WAITING) {
            return;
        }
        Room before = Room.NONE;
        for (Reservation other : live.values()) {
            if (other == reservation) {
                break;
            }
            if (other.machine == reservation.machine) {
                before = before.plus(other.remaining());
            }
        }
        if (reservation.machine.size.minus(reservation.machine.used()).minus(before)
                .holds(reservation.remaining())) {
            reservation.become(Phase.AVAILABLE);
        }
    }

    /** Brings phases up to date; what expired, or lies on a machine that is going, fails. */
    public List<Reservation> sync() {
        List<Reservation> failed = new ArrayList<>();
        Map<Job, Integer> held = new LinkedHashMap<>();
        for (Reservation reservation : new ArrayList<>(live.values())) {
            Machine machine = reservation.machine;
            // A job that found room elsewhere meanwhile needs no more reservations than it has pending tasks.
            if (reservation.owner.over()
                    || held.merge(reservation.owner, 1, Integer::sum) > reservation.owner.pending()) {
                release(reservation);
            } else if (world.nowMicros >= reservation.expiresMicros() || machine.deleted || machine.leaving
                    || machine.takenMicros >= 0 || !machine.up()) {
                release(reservation);
                failed.add(reservation);
            } else {
                settle(reservation);
            }
        }
        return failed;
    }

    /** Gives the room back; the reservation can't be drawn any more. */
    public void release(Reservation reservation) {
        end(reservation, Phase.FAILED);
    }

    private void end(Reservation reservation, Phase phase) {
        if (live.remove(reservation.id) != null) {
            reservation.owner.team.subtract(reservation.remaining());
            reservation.become(phase);
            world.placementWorthTrying = true;
        }
    }

    public void renew(Reservation reservation) {
        reservation.renew(world.nowMicros + world.settings.operator().reservationTtlMicros());
    }

    /** The machine's free room without what is reserved for others than this job. */
    public Room unreserved(Machine machine, Job job) {
        return balance(machine, job).floor();
    }

    /** The same, negative where reservations wait for room that is still in use. */
    public Room balance(Machine machine, Job job) {
        Room free = machine.size.minus(machine.used());
        for (Reservation reservation : live.values()) {
            if (reservation.machine == machine && reservation.owner != job) {
                free = free.minus(reservation.remaining());
            }
        }
        return free;
    }

    /**
     * The reservation from which a task of the job draws first on this machine: the one from which it gets most, and
     * among reusable ones the earliest.
     */
    public Reservation match(Job job, Machine machine) {
        Reservation best = null;
        for (Reservation reservation : live.values()) {
            if (reservation.machine != machine || reservation.owner != job
                    || reservation.phase() != Phase.AVAILABLE) {
                continue;
            }
            if (best == null || (best.allocateOnce || reservation.allocateOnce)
                    && draws(reservation, job) > draws(best, job)) {
                best = reservation;
            }
        }
        return best;
    }

    private static long draws(Reservation reservation, Job job) {
        Room room = reservation.drawable(job.room);
        return room.cpu() + room.card() * 16 + room.ram() / 16;
    }

    /** What the job's team gets back from its limit when a task of the job draws the reservation. */
    public Room credit(Job job, Machine machine) {
        Reservation reservation = match(job, machine);
        if (reservation == null) {
            return Room.NONE;
        }
        return reservation.allocateOnce ? reservation.remaining() : reservation.drawable(job.room);
    }

    /** To be called before the placement is added: its room moves from the reservation to the task. */
    public void draw(Placement placement) {
        Reservation reservation = match(placement.job, placement.machine);
        if (reservation == null) {
            return;
        }
        Room drawn = reservation.drawable(placement.job.room);
        if (reservation.allocateOnce) {
            end(reservation, Phase.SUCCEEDED);
            reservation.draw(drawn);
        } else {
            reservation.owner.team.subtract(drawn);
            reservation.draw(drawn);
            if (reservation.remaining().equals(Room.NONE)) {
                end(reservation, Phase.SUCCEEDED);
            }
        }
    }

    public List<Reservation> of(Job job) {
        List<Reservation> result = new ArrayList<>();
        for (Reservation reservation : live.values()) {
            if (reservation.owner == job) {
                result.add(reservation);
            }
        }
        return result;
    }

    /**
     * For how many tasks of the job no machine need be rented. A gang's waiting reservations do not count: what they
     * wait for may run long.
     */
    public int coming(Job job) {
        int count = 0;
        for (Reservation reservation : live.values()) {
            if (reservation.owner == job
                    && (reservation.phase() == Phase.AVAILABLE || !job.description.gang())) {
                count++;
            }
        }
        return count;
    }

    public int size() {
        return live.size();
    }

    public boolean holdsAny(Machine machine) {
        for (Reservation reservation : live.values()) {
            if (reservation.machine == machine) {
                return true;
            }
        }
        return false;
    }
}
