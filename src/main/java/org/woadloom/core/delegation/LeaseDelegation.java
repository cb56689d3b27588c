package org.woadloom.core.delegation;

/**
 * The leader's leave to take care of workers in its absence, and its sign of life.
 *
 * @param term the leader's; workers that have seen a token of a later term are none of this
 *     warrant's business
 * @param saidMicros the standing's time that it answers, by the node's own clock
 * @param leaderMicros the time by the leader's clock
 * @param settledMicros how long before the standing was heard the moment lies up to which every
 *     cancellation has been carried out in the node's zone, {@link #UNSETTLED} where there is none
 */
public record LeaseDelegation(
        long term, long statusSentMicros, long leaderClockMicros, long cancellationLagMicros) {
    public static final long UNKNOWN_LAG = Long.MAX_VALUE / 4;
}
