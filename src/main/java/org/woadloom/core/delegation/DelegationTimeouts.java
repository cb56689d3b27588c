package org.woadloom.core.delegation;

/**
 * The bounds of delegated renewal, which all nodes work out alike from the settings.
 *
 * @param validityMicros how long after every cancellation was last known to be carried out a node
 *     that is cut off may still renew an agent's lease: the lease then ends within the time in
 *     which a cancelled task must have stopped
 * @param partitionSilenceMicros how long a node must have received nothing from the leader or the
 *     store before it renews leases
 * @param leaseExpiryMicros how long after a renewal an agent's lease has certainly expired
 */
public record DelegationTimeouts(
        long validityMicros, long partitionSilenceMicros, long leaseExpiryMicros) {
    /** Two clocks drift apart by a five hundredth at most. */
    private static final long DRIFT_DIVISOR = 500;

    /** Timers fire late and clocks step by less than this. */
    private static final long MARGIN_MICROS = 250_000;

    /** Works out the bounds from how long a lease lasts and how soon cancelled tasks must stop. */
    public static DelegationTimeouts of(long leaseMicros, long cancelMicros) {
        long leaseOver = maxElapsedMicros(leaseMicros);
        return new DelegationTimeouts(
                cancelMicros - leaseOver - (maxElapsedMicros(cancelMicros) - cancelMicros),
                leaseMicros / 3,
                leaseOver);
    }

    /** The longest that a span of another clock may be by this one, as clocks drift apart. */
    public static long maxElapsedMicros(long micros) {
        return micros + micros / DRIFT_DIVISOR + MARGIN_MICROS;
    }

    /** The shortest that a span of another clock may be by this one. */
    public static long minElapsedMicros(long micros) {
        return micros - micros / DRIFT_DIVISOR - MARGIN_MICROS;
    }

    /** Whether there is time to renew in: not where cancelled tasks must stop almost at once. */
    public boolean allowsDelegation() {
        return validityMicros > 2 * partitionSilenceMicros;
    }
}
