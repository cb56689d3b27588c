package org.woadloom.peer;

import java.util.List;
import org.woadloom.core.cancellation.WatermarkAck;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;

/** A message between controller nodes. Losing one costs time and never safety. */
public sealed interface PeerMessage {
    /** The first message on a connection: the label of the sender. */
    record Hello(String label) implements PeerMessage {}

    /**
     * Sent all the time, so that a silent partition is noticed, with the highest term that the
     * sender knows and who leads in it (empty for nobody): a node that can't reach the store alone
     * learns of a new leader that way. The view of the rollout follows at the end, where versions
     * up to 3 read no further; null from those.
     */
    record Ping(long term, String leader, RolloutView rollout) implements PeerMessage {}

    /**
     * What a node has read of the rollout, and what it can read itself: a node that can't reach the
     * store learns it here.
     *
     * @param recordNumber of the record that the sender has read
     * @param enabledFeatures the features that are on by that record
     * @param requiredFeatures the features that a process must know to serve
     * @param supportedFeatures the features that the sender knows
     */
    record RolloutView(
            long recordNumber,
            List<String> enabledFeatures,
            List<String> requiredFeatures,
            List<String> supportedFeatures) {}

    /** A job's record, as CBOR, that this node has just made durable. */
    record JobChangeNotification(byte[] record, long revision) implements PeerMessage {}

    /** A heartbeat, forwarded to the leader for an agent that can't reach it. */
    record ForwardedHeartbeat(long id, byte[] heartbeat) implements PeerMessage {}

    /** The leader's answer to a forwarded heartbeat. */
    record ForwardedAnswer(long id, int status, byte[] answer) implements PeerMessage {}

    /** The sender's status. Only once every node runs version 3. */
    record StatusReport(PeerStatus status) implements PeerMessage {}

    /**
     * The cancellations that the sender has confirmed to users, for the leader. Only while the
     * feature of watermark reports is on.
     */
    record CancellationReport(WatermarkReport report) implements PeerMessage {}

    /** The leader's answer to a cancellation report. */
    record CancellationReportAck(WatermarkAck ack) implements PeerMessage {}

    /** The leader's answer to a status report. */
    record Delegation(LeaseDelegation delegation) implements PeerMessage {}
}
