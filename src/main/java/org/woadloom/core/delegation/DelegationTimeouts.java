package org.woadloom.core.delegation;

/**
 * The time bounds of delegated lease renewal. All nodes derive the same bounds from the settings.
 *
 * @param validityMicros how long a partitioned node may renew leases, counted from when every
 *     cancellation was last known to be carried out; the leases that it renews expire within the
 *     time in which a cancelled task must have stopped
 * @param partitionSilenceMicros how long a node must have received nothing from the leader and the
 *     store before it renews leases
 * @param leaseExpiryMicros how long after its last renewal an agent's lease has certainly expired
 */
public record DelegationTimeouts(
        long validityMicros, long partitionSilenceMicros, long leaseExpiryMicros) {
    /** Two clocks drift apart by at most 1/500 of the elapsed time. */
    private static final long DRIFT_DIVISOR = 500;

    /** Upper bound for late timers and clock steps. */
    private static final long MARGIN_MICROS = 250_000;

    /**
     * Derives the bounds from the duration of a lease and the time in which cancelled tasks must
     * stop.
     */
    public static DelegationTimeouts of(long leaseMicros, long cancelMicros) {
        long leaseExpiryMicros = maxElapsedMicros(leaseMicros);
        return new DelegationTimeouts(
                cancelMicros - leaseExpiryMicros - (maxElapsedMicros(cancelMicros) - cancelMicros),
                leaseMicros / 3,
                leaseExpiryMicros);
    }

    /**
     * Returns the longest time that may pass on this clock while another clock measures the given
     * span.
     */
    public static long maxElapsedMicros(long micros) {
        return micros + micros / DRIFT_DIVISOR + MARGIN_MICROS;
    }

    /**
     * Returns the shortest time that may pass on this clock while another clock measures the given
     * span.
     */
    public static long minElapsedMicros(long micros) {
        return micros - micros / DRIFT_DIVISOR - MARGIN_MICROS;
    }

    /**
     * True if the bounds leave time for renewals. They do not if cancelled tasks must stop almost
     * at once.
     */
    public boolean allowsDelegation() {
        return validityMicros > 2 * partitionSilenceMicros;
    }
}
