package org.woadloom.core.delegation;

/**
 * The leader's response to a node's status: the node may renew leases while it cannot reach the
 * leader.
 *
 * @param term the leader's term; the delegation does not apply to agents that have seen a token of
 *     a later term
 * @param statusSentMicros when the status was sent, on the node's clock
 * @param leaderClockMicros the current time on the leader's clock
 * @param cancellationLagMicros how long before the status arrived every cancellation was last known
 *     to be carried out in the node's zone, or {@link #UNKNOWN_LAG}
 */
public record LeaseDelegation(
        long term, long statusSentMicros, long leaderClockMicros, long cancellationLagMicros) {
    /** The lag is not known; longer than any delegation lasts. */
    public static final long UNKNOWN_LAG = Long.MAX_VALUE / 4;
}
