package org.woadloom.core.reservation;

import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.placement.Resources;

/** Resources on one machine that only its owner's tasks may draw. */
public final class Reservation {
    /** The phases of a reservation, as in the paper that docs/design.md names. */
    public enum Phase {
        /** Just made. */
        PENDING,
        /** Holds resources of which a part is still in use. */
        WAITING,
        /** The owner's tasks may draw it. */
        AVAILABLE,
        /** Drawn. */
        SUCCEEDED,
        /** Released or expired before it was drawn. */
        FAILED
    }

    public final long id;

    /** The template: what is held. */
    public final Resources resources;

    /** The job whose tasks may draw it. */
    public final Job owner;

    public final Machine machine;

    /** Ends with the first owner that draws it, whatever is left. */
    public final boolean allocateOnce;

    /** Made without regard to what was free on the machine. */
    public final boolean preAllocation;

    private Phase phase = Phase.PENDING;
    private Resources allocated = Resources.NONE;
    private long expiresMicros;

    Reservation(
            long id,
            Resources template,
            Job owner,
            Machine machine,
            boolean allocateOnce,
            boolean preAllocation,
            long expiresMicros) {
        this.id = id;
        this.resources = template;
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

    /** True while the resources are held. */
    public boolean isLive() {
        return phase == Phase.WAITING || phase == Phase.AVAILABLE;
    }

    /** What is still to be drawn. */
    public Resources remaining() {
        return isLive() ? resources.minus(allocated) : Resources.NONE;
    }

    public Resources allocated() {
        return allocated;
    }

    /** What a task of this size would draw here before it takes from the machine. */
    public Resources allocatableTo(Resources task) {
        return remaining().min(task);
    }

    void allocate(Resources amount) {
        allocated = allocated.plus(amount);
    }

    public long expiresMicros() {
        return expiresMicros;
    }

    void renew(long until) {
        expiresMicros = until;
    }
}
