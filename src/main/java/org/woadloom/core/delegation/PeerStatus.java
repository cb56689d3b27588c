package org.woadloom.core.delegation;

/**
 * A node's status report to the leader. Durations are measured from the time of sending.
 *
 * @param processId distinguishes the node's successive processes
 * @param uptimeMicros how long the process has been running
 * @param sentMicros when the status was sent, on the node's clock
 * @param term the term of the leader whose clock is echoed, 0 for none
 * @param echoedLeaderClockMicros the latest time on the leader's clock that the node has received
 * @param noRenewalForMicros for how long from now on the node will not renew leases on its own
 * @param sinceLastRenewalMicros time since its last renewal, -1 if there was none
 * @param storeSilentMicros how long the store has not responded to it
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
