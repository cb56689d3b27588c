package org.woadloom.core.reservation;

import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.placement.Resources;

/** Resources on one machine that are held for the tasks of one job, its owner. */
public final class Reservation {
    /** The phases of a reservation, as in the proposal that docs/design.md refers to. */
    public enum Phase {
        /** Just created. */
        PENDING,
        /** Waits until all of its resources are free; a part is still in use by other tasks. */
        WAITING,
        /** All of its resources are free: tasks of the owner can be placed on them. */
        AVAILABLE,
        /** Used by tasks of the owner. */
        SUCCEEDED,
        /** Released or expired before it was used up. */
        FAILED
    }

    public final long id;

    /** The resources reserved in total. */
    public final Resources resources;

    /** The job whose tasks may use the reservation. */
    public final Job owner;

    public final Machine machine;

    /** Whether the first task that uses the reservation ends it, even if resources are left. */
    public final boolean allocateOnce;

    /** Whether it may be made before its resources are free on the machine. */
    public final boolean preAllocation;

    private Phase phase = Phase.PENDING;
    private Resources allocated = Resources.NONE;
    private long expiresMicros;

    Reservation(
            long id,
            Resources resources,
            Job owner,
            Machine machine,
            boolean allocateOnce,
            boolean preAllocation,
            long expiresMicros) {
        this.id = id;
        this.resources = resources;
        this.owner = owner;
        this.machine = machine;
        this.allocateOnce = allocateOnce;
        this.preAllocation = preAllocation;
        this.expiresMicros = expiresMicros;
    }

    public Phase phase() {
        return phase;
    }

    void setPhase(Phase next) {
        phase = next;
    }

    /** True while resources are held. */
    public boolean isLive() {
        return phase == Phase.WAITING || phase == Phase.AVAILABLE;
    }

    /** The resources that no task of the owner has taken yet. */
    public Resources remaining() {
        return isLive() ? resources.minus(allocated) : Resources.NONE;
    }

    public Resources allocated() {
        return allocated;
    }

    /** The part of a task's request that this reservation can cover. */
    public Resources allocatableTo(Resources task) {
        return remaining().min(task);
    }

    void allocate(Resources amount) {
        allocated = allocated.plus(amount);
    }

    public long expiresMicros() {
        return expiresMicros;
    }

    void renew(long newExpiresMicros) {
        expiresMicros = newExpiresMicros;
    }
}
