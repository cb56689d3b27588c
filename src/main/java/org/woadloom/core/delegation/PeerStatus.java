package org.woadloom.core.delegation;

/**
 * What a node sends to the leader of itself. All spans are measured from the moment of sending.
 *
 * @param processId tells the node's processes apart
 * @param uptimeMicros for how long the process has been running
 * @param sentMicros when this was sent, by the node's clock
 * @param term the term of the leader whose clock is echoed, 0 for none
 * @param echoedLeaderClockMicros the latest time of the leader's clock that the node has seen
 * @param noRenewalForMicros for how long from now on the node will renew no lease by itself
 * @param sinceLastRenewalMicros how long ago it last did, -1 for never
 * @param storeSilentMicros for how long the store has not answered it
 */
public record PeerStatus(
        long processId,
        long uptimeMicros,
        long sentMicros,
        long term,
        long echoedLeaderClockMicros,
        long noRenewalForMicros,
        long sinceLastRenewalMicros,
        long storeSilentMicros) {}
