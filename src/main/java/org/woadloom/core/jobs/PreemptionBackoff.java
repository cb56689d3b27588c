package org.woadloom.core.jobs;

/**
 * Computes how long a job whose tasks were preempted waits before it is placed again.
 *
 * <p>Without the delay, its tasks would start at once on whatever is free and be preempted dozens
 * of times for the next jobs of higher priority. The delay doubles with each preemption, up to
 * {@link #MAX_DOUBLINGS} times, and is reset after a time without preemption.
 */
final class PreemptionBackoff {
    /** Half of the delay after the first preemption. */
    private static final long BASE_MICROS = 1_500_000;

    private static final int MAX_DOUBLINGS = 3;

    /** A preemption after at least this long without one counts as the first. */
    private static final long RESET_AFTER_MICROS = 30_000_000;

    private int recentPreemptions;

    /** Half of the range, so that subtracting it cannot overflow. */
    private long lastPreemptionMicros = Long.MIN_VALUE / 2;

    /**
     * Records that tasks of the job were preempted; all of one scheduling pass count as one
     * preemption.
     */
    void onPreempted(long nowMicros) {
        if (nowMicros == lastPreemptionMicros) {
            return;
        }
        boolean isReset = nowMicros - lastPreemptionMicros > RESET_AFTER_MICROS;
        recentPreemptions = isReset ? 1 : Math.min(recentPreemptions + 1, MAX_DOUBLINGS);
        lastPreemptionMicros = nowMicros;
    }

    /**
     * Ends the delay. Called when the job's priority changes: preemptions at another priority do
     * not predict the next one.
     */
    void reset() {
        recentPreemptions = 0;
    }

    boolean isActive(long nowMicros) {
        return recentPreemptions > 0
                && nowMicros - lastPreemptionMicros < BASE_MICROS << recentPreemptions;
    }
}
