package org.woadloom.core.delegation;

/**
 * What a node tells the leader of itself. All spans end at the moment when this was said.
 *
 * @param life tells the node's processes apart
 * @param aliveMicros for how long the process has been running
 * @param saidMicros when this was said, by the node's clock
 * @param term whose leader's clock {@code echoMicros} was read from, 0 for none
 * @param echoMicros the latest time of the leader's clock that the node has seen
 * @param promiseMicros for how long from now on the node will not take care of any worker
 * @param caredMicros how long ago it last did, -1 for never
 * @param stateSilentMicros for how long it has had no answer of the state service
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
