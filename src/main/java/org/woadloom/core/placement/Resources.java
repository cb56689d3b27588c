package org.woadloom.core.placement;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;

/** An amount of a machine, in whole thousandths so that sums do not drift. */
public record Resources(long cpu, long card, long ram) {
    public static final Resources NONE = new Resources(0, 0, 0);

    /** What one task takes, rounded up. */
    public static Resources of(JobDescription job) {
        return new Resources(up(job.vcpus()), up(job.cards()), up(job.ramGb()));
    }

    /** What a machine has, rounded down. */
    public static Resources of(MachineType type) {
        return new Resources(
                (long) (type.vcpus() * 1000 + 1e-6),
                (long) (type.cards() * 1000 + 1e-6),
                (long) (type.ramGb() * 1000 + 1e-6));
    }

    private static long up(double amount) {
        return (long) Math.ceil(amount * 1000 - 1e-6);
    }

    public Resources plus(Resources other) {
        return new Resources(cpu + other.cpu, card + other.card, ram + other.ram);
    }

    public Resources minus(Resources other) {
        return new Resources(cpu - other.cpu, card - other.card, ram - other.ram);
    }

    public Resources times(long factor) {
        return new Resources(cpu * factor, card * factor, ram * factor);
    }

    public boolean holds(Resources other) {
        return other.cpu <= cpu && other.card <= card && other.ram <= ram;
    }

    /** How many times the other fits; the other must not be nothing. */
    public int count(Resources other) {
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
    public Resources floor() {
        return (cpu | card | ram) >= 0
                ? this
                : new Resources(Math.max(0, cpu), Math.max(0, card), Math.max(0, ram));
    }

    /** Of each the smaller amount. */
    public Resources least(Resources other) {
        return new Resources(
                Math.min(cpu, other.cpu), Math.min(card, other.card), Math.min(ram, other.ram));
    }
}
