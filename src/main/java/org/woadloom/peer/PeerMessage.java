package org.woadloom.peer;

import java.util.List;
import org.woadloom.core.cancellation.WatermarkAck;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;

/**
 * A message between controller nodes. Losing a message may cause delays but never affects
 * correctness.
 */
public sealed interface PeerMessage {
    /** The first message on a connection, with the label of the sending node. */
    record Hello(String label) implements PeerMessage {}

    /**
     * Sent periodically to detect silent partitions. It contains the highest term known to the
     * sender and the leader of that term (empty if there is none), so that a node that cannot reach
     * the store still learns of a new leader. The rollout view is encoded last, because releases up
     * to 3 do not read that far; it is null in a ping from such a release.
     */
    record Ping(long term, String leader, RolloutView rollout) implements PeerMessage {}

    /**
     * The rollout as known to the sender, and the features that the sender supports. A node that
     * cannot reach the store learns the rollout state from this view.
     *
     * @param recordNumber number of the rollout record that the sender has read
     * @param enabledFeatures features that are on according to that record
     * @param requiredFeatures features that a process must support in order to serve
     * @param supportedFeatures features that the sender supports
     */
    record RolloutView(
            long recordNumber,
            List<String> enabledFeatures,
            List<String> requiredFeatures,
            List<String> supportedFeatures) {}

    /** A job record, as CBOR, that the sender has just written to the store. */
    record JobChangeNotification(byte[] record, long revision) implements PeerMessage {}

    /** An agent's heartbeat, forwarded to the leader because the agent cannot reach it. */
    record ForwardedHeartbeat(long id, byte[] heartbeat) implements PeerMessage {}

    /** The leader's answer to a forwarded heartbeat. */
    record ForwardedAnswer(long id, int status, byte[] answer) implements PeerMessage {}

    /** The sender's status. Sent only when every node runs version 3 or later. */
    record StatusReport(PeerStatus status) implements PeerMessage {}

    /**
     * Tells the leader which cancellations the sender has confirmed to users. Sent only while
     * {@link org.woadloom.core.rollout.Feature#CANCELLATION_REPORTS} is on.
     */
    record CancellationReport(WatermarkReport report) implements PeerMessage {}

    /** The leader's answer to a cancellation report. */
    record CancellationReportAck(WatermarkAck ack) implements PeerMessage {}

    /** The leader's answer to a status report. */
    record Delegation(LeaseDelegation delegation) implements PeerMessage {}
}
