package org.woadloom.core;

/**
 * How many changes the core may still ask for, at the rate that the state service bears. What is
 * asked for beyond it would only queue, with users' requests behind it; what waits here is written
 * later and more at a time. Machines have a part of their own, so that a wave of rentals does not
 * hold up launches, nor launches the records of machines; what one leaves is the other's.
 */
public final class WriteBudget {
    private static final double MACHINES = 0.4;
    private static final double BURST_SECONDS = 0.4;

    /** How far ahead ends and cancellations may go: they can't wait for others. */
    private static final double AHEAD_SECONDS = 1.5;

    private double perSecond;
    private double jobs;
    private double machines;
    private long lastMicros = Long.MIN_VALUE;

    void setRate(double writesPerSecond) {
        perSecond = writesPerSecond;
    }

    void refill(long nowMicros) {
        double seconds =
                lastMicros == Long.MIN_VALUE ? BURST_SECONDS : (nowMicros - lastMicros) / 1e6;
        lastMicros = nowMicros;
        double cap = Math.max(2, perSecond * BURST_SECONDS);
        machines += perSecond * seconds * MACHINES;
        jobs += perSecond * seconds * (1 - MACHINES) + Math.max(0, machines - cap * MACHINES);
        machines = Math.min(machines, cap * MACHINES) + Math.max(0, jobs - cap);
        jobs = Math.min(jobs, cap);
        machines = Math.min(machines, cap);
    }

    public double perSecond() {
        return perSecond;
    }

    /** True if there is room for what can wait: nothing else uses up what the rate allows. */
    public boolean hasSpare() {
        double cap = Math.max(2, perSecond * BURST_SECONDS);
        return jobs >= cap / 2 && machines >= cap * MACHINES / 2;
    }

    public boolean allowsJob() {
        return jobs > 0;
    }

    /** True if the end of a job, or a cancellation, may be written. */
    public boolean allowsFinalState() {
        return jobs > -perSecond * AHEAD_SECONDS;
    }

    public void takeJob(int changes) {
        jobs -= changes;
    }

    public boolean allowsMachine() {
        return machines > 0;
    }

    public void takeMachine() {
        machines--;
    }
}
