package org.woadloom.core.placement;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;

/**
 * An amount of CPUs, GPUs and memory in GB, each as an integer number of thousandths so that sums
 * have no rounding drift. Amounts are negative where more is allocated than exists.
 */
public record Resources(long cpu, long gpu, long memory) {
    /** Units per CPU, GPU or GB. */
    public static final long SCALE = 1000;

    /** Tolerance in units for settings that binary floating point cannot represent exactly. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    public static final Resources NONE = new Resources(0, 0, 0);

    /** Resources of one task of the job, rounded up. */
    public static Resources of(JobDescription job) {
        return new Resources(
                toUnitsRoundedUp(job.cpus()),
                toUnitsRoundedUp(job.gpus()),
                toUnitsRoundedUp(job.memoryGb()));
    }

    /** Capacity of a machine of this type, rounded down. */
    public static Resources of(MachineType type) {
        return new Resources(
                toUnitsRoundedDown(type.cpus()),
                toUnitsRoundedDown(type.gpus()),
                toUnitsRoundedDown(type.memoryGb()));
    }

    private static long toUnitsRoundedUp(double amount) {
        return (long) Math.ceil(amount * SCALE - ROUNDING_TOLERANCE);
    }

    public static long toUnitsRoundedDown(double amount) {
        return (long) (amount * SCALE + ROUNDING_TOLERANCE);
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

    /** True if each amount is at least that of the other. */
    public boolean contains(Resources other) {
        return other.cpu <= cpu && other.gpu <= gpu && other.memory <= memory;
    }

    /** Returns how many times the given resources fit into these; they must not all be zero. */
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

    /** Returns these resources with negative amounts replaced by 0. */
    public Resources clampToNonNegative() {
        return (cpu | gpu | memory) >= 0
                ? this
                : new Resources(Math.max(0, cpu), Math.max(0, gpu), Math.max(0, memory));
    }

    /** Returns the smaller of the two amounts for each resource. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cpu, other.cpu), Math.min(gpu, other.gpu), Math.min(memory, other.memory));
    }
}
