package org.woadloom.core;

/**
 * A token bucket of writes to the store, at the rate that the store takes. Writes beyond it would
 * only queue, with users' requests behind them; what waits here is written later, several changes
 * in one write. Machines have a share of their own, so that a wave of rentals does not delay starts
 * of tasks, nor starts the records of machines; what one does not use is the other's.
 */
public final class WriteBudget {
    /** The part of the rate that is for the records of machines. */
    private static final double MACHINE_SHARE = 0.4;

    /** The bucket holds as many writes as come in this time. */
    private static final double BURST_SECONDS = 0.4;

    /** How much of the rate to come final states and cancellations may use: they can't wait. */
    private static final double OVERDRAFT_SECONDS = 1.5;

    private static final double MIN_CAPACITY = 2;
    private static final long NEVER_MICROS = Long.MIN_VALUE;

    private double perSecond;
    private double jobTokens;
    private double machineTokens;
    private long lastRefillMicros = NEVER_MICROS;

    /** Follows the rate that the store takes. */
    void setRate(double writesPerSecond) {
        perSecond = writesPerSecond;
    }

    /** Adds the tokens of the time since the last refill. */
    void refill(long nowMicros) {
        double seconds =
                lastRefillMicros == NEVER_MICROS
                        ? BURST_SECONDS
                        : (nowMicros - lastRefillMicros) / 1e6;
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
        return Math.max(MIN_CAPACITY, perSecond * BURST_SECONDS);
    }

    /** The rate in writes a second. */
    public double writesPerSecond() {
        return perSecond;
    }

    /** Whether there is spare capacity for what can wait: nothing else uses up the rate. */
    public boolean hasSpareCapacity() {
        double capacity = capacity();
        return jobTokens >= capacity / 2 && machineTokens >= capacity * MACHINE_SHARE / 2;
    }

    /** Whether the record of a job may be written. */
    public boolean allowsJobWrite() {
        return jobTokens > 0;
    }

    /** Whether the final state of a job, or a cancellation, may be written. */
    public boolean allowsFinalStateWrite() {
        return jobTokens > -perSecond * OVERDRAFT_SECONDS;
    }

    /** Takes the tokens of a write that changes so many keys. */
    public void consumeJobTokens(int changes) {
        jobTokens -= changes;
    }

    /** Whether the record of a machine may be written. */
    public boolean allowsMachineWrite() {
        return machineTokens > 0;
    }

    /** Takes the token of a write of a machine's record. */
    public void consumeMachineToken() {
        machineTokens--;
    }
}
