package org.woadloom.core.delegation;

/**
 * The leader's answer to a node's status: the node may renew leases while it can't reach the
 * leader.
 *
 * @param term the leader's term; leases of agents that have seen a token of a later term must not
 *     be renewed by this delegation
 * @param statusSentMicros when the status that this answers was sent, by the node's clock
 * @param leaderClockMicros the time by the leader's clock
 * @param cancellationLagMicros how long before the status was received every cancellation was last
 *     known to be carried out in the node's zone, {@link #UNKNOWN_LAG} where that is not known
 */
public record LeaseDelegation(
        long term, long statusSentMicros, long leaderClockMicros, long cancellationLagMicros) {
    /** No such moment is known; longer than any delegation lasts. */
    public static final long UNKNOWN_LAG = Long.MAX_VALUE / 4;
}
