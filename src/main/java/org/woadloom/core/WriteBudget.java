package org.woadloom.core;

/**
 * A token bucket that limits the scheduler's writes to the rate that the store sustains. Writes
 * above that rate would only queue in the store and delay users' requests behind them; a change
 * that waits here is merged with later ones into a single write.
 *
 * <p>Jobs and machines have a bucket each, so that many rentals at once do not delay starts of
 * tasks, and many starts do not delay machine records. Tokens that overflow one bucket go to the
 * other.
 */
public final class WriteBudget {
    /** The part of the rate that is reserved for machine records. */
    private static final double MACHINE_SHARE = 0.4;

    /** The bucket capacity, as the time in which it fills at the full rate. */
    private static final double CAPACITY_SECONDS = 0.4;

    /**
     * How far final states and cancellations, which can't wait, may overdraw the bucket, as the
     * time that refills it at the full rate.
     */
    private static final double OVERDRAFT_SECONDS = 1.5;

    private static final double MIN_CAPACITY = 2;
    private static final long NEVER = Long.MIN_VALUE;

    private double perSecond;
    private double jobTokens;
    private double machineTokens;
    private long lastRefillMicros = NEVER;

    /** Sets the rate that the store sustains. */
    void setRate(double writesPerSecond) {
        perSecond = writesPerSecond;
    }

    /** Adds the tokens for the time since the last refill. */
    void refill(long nowMicros) {
        double seconds =
                lastRefillMicros == NEVER ? CAPACITY_SECONDS : (nowMicros - lastRefillMicros) / 1e6;
        lastRefillMicros = nowMicros;
        double capacity = capacity();
        machineTokens += perSecond * seconds * MACHINE_SHARE;
        jobTokens +=
                perSecond * seconds * (1 - MACHINE_SHARE)
                        + Math.max(0, machineTokens - capacity * MACHINE_SHARE);
        machineTokens =
                Math.min(machineTokens, capacity * MACHINE_SHARE)
                        + Math.max(0, jobTokens - capacity);
        jobTokens = Math.min(jobTokens, capacity);
        machineTokens = Math.min(machineTokens, capacity);
    }

    private double capacity() {
        return Math.max(MIN_CAPACITY, perSecond * CAPACITY_SECONDS);
    }

    public double writesPerSecond() {
        return perSecond;
    }

    /**
     * Whether both buckets are at least half full, so that deferrable writes delay nothing else.
     */
    public boolean hasSpareCapacity() {
        double capacity = capacity();
        return jobTokens >= capacity / 2 && machineTokens >= capacity * MACHINE_SHARE / 2;
    }

    public boolean allowsJobWrite() {
        return jobTokens > 0;
    }

    /** Whether the final state or the cancellation of a job may be written. */
    public boolean allowsFinalStateWrite() {
        return jobTokens > -perSecond * OVERDRAFT_SECONDS;
    }

    /** Consumes a token for each key that a job's write changes. */
    public void consumeJobTokens(int changedKeys) {
        jobTokens -= changedKeys;
    }

    public boolean allowsMachineWrite() {
        return machineTokens > 0;
    }

    /** Consumes the token for one write of a machine record. */
    public void consumeMachineToken() {
        machineTokens--;
    }
}
