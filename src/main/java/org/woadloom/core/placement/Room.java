package org.woadloom.core.placement;

import org.woadloom.wire.JobDescription;
import org.woadloom.wire.MachineType;

/** An amount of a machine, in whole thousandths so that sums do not drift. */
public record Room(long cpu, long card, long ram) {
    public static final Room NONE = new Room(0, 0, 0);

    /** What one task takes, rounded up. */
    public static Room of(JobDescription job) {
        return new Room(up(job.vcpus()), up(job.cards()), up(job.ramGb()));
    }

    /** What a machine has, rounded down. */
    public static Room of(MachineType type) {
        return new Room(
                (long) (type.vcpus() * 1000 + 1e-6),
                (long) (type.cards() * 1000 + 1e-6),
                (long) (type.ramGb() * 1000 + 1e-6));
    }

    private static long up(double amount) {
        return (long) Math.ceil(amount * 1000 - 1e-6);
    }

    public Room plus(Room other) {
        return new Room(cpu + other.cpu, card + other.card, ram + other.ram);
    }

    public Room minus(Room other) {
        return new Room(cpu - other.cpu, card - other.card, ram - other.ram);
    }

    public Room times(long factor) {
        return new Room(cpu * factor, card * factor, ram * factor);
    }

    public boolean holds(Room other) {
        return other.cpu <= cpu && other.card <= card && other.ram <= ram;
    }

    /** How many times the other fits; the other must not be nothing. */
    public int count(Room other) {
        long count = Integer.MAX_VALUE;
        if (other.cpu > 0) {
            count = Math.min(count, cpu / other.cpu);
        }
        if (other.card > 0) {
            count = Math.min(count, card / other.card);
        }
        if (other.ram > 0) {
            count = Math.min(count, ram / other.ram);
        }
        return (int) Math.max(0, count);
    }

    /** The part without anything negative. */
    public Room floor() {
        return (cpu | card | ram) >= 0
                ? this
                : new Room(Math.max(0, cpu), Math.max(0, card), Math.max(0, ram));
    }

    /** Of each the smaller amount. */
    public Room least(Room other) {
        return new Room(
                Math.min(cpu, other.cpu), Math.min(card, other.card), Math.min(ram, other.ram));
    }
}
