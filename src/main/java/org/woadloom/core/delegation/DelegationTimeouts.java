package org.woadloom.core.delegation;

/**
 * The times of caretaking, which all nodes work out alike from the platform's settings.
 *
 * @param careMicros how long after a moment up to which every cancellation is carried out a worker
 *     may still be answered by a node that is cut off: its lease then ends within the time that a
 *     cancelled task may stay
 * @param patienceMicros how long a node must have heard neither the leader nor the state service
 *     before it takes care
 * @param leaseOverMicros how long after an answer a worker's lease is certainly over
 */
public record DelegationTimeouts(
        long delegationMicros, long silenceMicros, long leaseExpiryMicros) {
    private static final long MARGIN_MICROS = 250_000;

    public static DelegationTimeouts of(long leaseMicros, long cancelMicros) {
        long leaseOver = longestMicros(leaseMicros);
        return new DelegationTimeouts(
                cancelMicros - leaseOver - (longestMicros(cancelMicros) - cancelMicros),
                leaseMicros / 3,
                leaseOver);
    }

    /**
     * A span by another clock, at most: clocks drift apart by a twentieth of a percent each, and
     * timers step.
     */
    public static long longestMicros(long micros) {
        return micros + micros / 500 + MARGIN_MICROS;
    }

    /** A span by another clock, at least. */
    public static long shortestMicros(long micros) {
        return micros - micros / 500 - MARGIN_MICROS;
    }

    /** Where cancelled tasks must go at once there is no time to take care in. */
    public boolean isUsable() {
        return delegationMicros > 2 * silenceMicros;
    }
}
