package org.woadloom.core.placement;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;

/**
 * An amount of processors, GPUs and memory in GB, each in whole thousandths so that sums do not
 * drift. Amounts may be negative where more is promised than there is.
 */
public record Resources(long cpu, long gpu, long memory) {
    /** How many units make a processor, a GPU or a GB. */
    public static final long SCALE = 1000;

    /** What settings may be off by as binary fractions, in units. */
    private static final double ROUNDING_ERROR = 1e-6;

    public static final Resources NONE = new Resources(0, 0, 0);

    /** What one task takes, rounded up. */
    public static Resources of(JobDescription job) {
        return new Resources(
                toUnitsRoundedUp(job.cpus()),
                toUnitsRoundedUp(job.gpus()),
                toUnitsRoundedUp(job.memoryGb()));
    }

    /** What a machine has, rounded down. */
    public static Resources of(MachineType type) {
        return new Resources(
                toUnitsRoundedDown(type.cpus()),
                toUnitsRoundedDown(type.gpus()),
                toUnitsRoundedDown(type.memoryGb()));
    }

    private static long toUnitsRoundedUp(double amount) {
        return (long) Math.ceil(amount * SCALE - ROUNDING_ERROR);
    }

    /** An amount in units, rounded down. */
    public static long toUnitsRoundedDown(double amount) {
        return (long) (amount * SCALE + ROUNDING_ERROR);
    }

    public Resources plus(Resources other) {
        return new Resources(cpu + other.cpu, gpu + other.gpu, memory + other.memory);
    }

    public Resources minus(Resources other) {
        return new Resources(cpu - other.cpu, gpu - other.gpu, memory - other.memory);
    }

    public Resources times(long factor) {
        return new Resources(cpu * factor, gpu * factor, memory * factor);
    }

    /** True if there is at least as much of each as in the other. */
    public boolean contains(Resources other) {
        return other.cpu <= cpu && other.gpu <= gpu && other.memory <= memory;
    }

    /** How many times the other fits; the other must not be nothing. */
    public int countFitting(Resources other) {
        long count = Integer.MAX_VALUE;
        if (other.cpu > 0) {
            count = Math.min(count, cpu / other.cpu);
        }
        if (other.gpu > 0) {
            count = Math.min(count, gpu / other.gpu);
        }
        if (other.memory > 0) {
            count = Math.min(count, memory / other.memory);
        }
        return (int) Math.max(0, count);
    }

    /** The part without anything negative. */
    public Resources clampToNonNegative() {
        return (cpu | gpu | memory) >= 0
                ? this
                : new Resources(Math.max(0, cpu), Math.max(0, gpu), Math.max(0, memory));
    }

    /** Of each the smaller amount. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cpu, other.cpu), Math.min(gpu, other.gpu), Math.min(memory, other.memory));
    }
}
