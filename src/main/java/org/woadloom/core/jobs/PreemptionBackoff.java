package org.woadloom.core.jobs;

/**
 * How long a job whose tasks were preempted waits before it is placed again.
 *
 * <p>Started again at once in whatever gap there is, its tasks would be preempted again for the
 * next job of a higher priority, dozens of times. The wait doubles with each preemption up to
 * {@link #MAX_DOUBLINGS} and starts anew after a time without any.
 */
final class PreemptionBackoff {
    /** Half of the wait after the first preemption. */
    private static final long BASE_MICROS = 1_500_000;

    private static final int MAX_DOUBLINGS = 3;

    /** After so long without a preemption the next one counts as the first. */
    private static final long MEMORY_MICROS = 30_000_000;

    private int recentPreemptions;

    /** Half of the range, so that differences to it do not overflow. */
    private long lastPreemptionMicros = Long.MIN_VALUE / 2;

    /** Tasks of the job are preempted; those of one pass count as one preemption. */
    void onPreempted(long nowMicros) {
        if (nowMicros == lastPreemptionMicros) {
            return;
        }
        boolean isForgotten = nowMicros - lastPreemptionMicros > MEMORY_MICROS;
        recentPreemptions = isForgotten ? 1 : Math.min(recentPreemptions + 1, MAX_DOUBLINGS);
        lastPreemptionMicros = nowMicros;
    }

    /** Ends the wait: at another priority earlier preemptions say nothing. */
    void reset() {
        recentPreemptions = 0;
    }

    boolean isActive(long nowMicros) {
        return recentPreemptions > 0
                && nowMicros - lastPreemptionMicros < BASE_MICROS << recentPreemptions;
    }
}
