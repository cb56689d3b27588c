package org.woadloom.peer;

import java.util.List;
import org.woadloom.core.cancellation.WatermarkAck;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;

/** What controller nodes say to one another. Losing one costs time and never safety. */
public sealed interface PeerMessage {
    /** The first message on a connection: who speaks. */
    record Hello(String label) implements PeerMessage {}

    /**
     * Sent all the time, so that a silent cut is noticed, with the highest term that the sender
     * knows and who leads in it (empty for nobody): a node that only the state service refuses
     * hears of a new leader that way. What it says of the rollout follows at the end, where
     * versions up to 3 read no further; null from those.
     */
    record Ping(long term, String leader, RolloutView rollout) implements PeerMessage {}

    /**
     * What a node has read of the rollout, and what it reads: one that can't reach the state
     * service learns it here.
     *
     * @param number of the record that it has read
     * @param on the features that are on by that record
     * @param requires what a process must know that is to serve
     * @param reads what the sender knows
     */
    record RolloutView(long number, List<String> on, List<String> requires, List<String> reads) {}

    /** A job's record, as CBOR, that this node has just made durable. */
    record JobChangeNotification(byte[] record, long revision) implements PeerMessage {}

    /** A worker's report, carried to the leader for a worker that can't reach it. */
    record ForwardHeartbeat(long id, byte[] heartbeat) implements PeerMessage {}

    /** The leader's answer to a carried report. */
    record ForwardedAnswer(long id, int status, byte[] answer) implements PeerMessage {}

    /** How the sender stands. Only once every node runs version 3. */
    record StatusReport(PeerStatus status) implements PeerMessage {}

    /**
     * What the sender has told of cancellations, for the leader. Only while all nodes have agreed
     * to vouch.
     */
    record CancellationReport(WatermarkReport report) implements PeerMessage {}

    /** The leader's answer to that. */
    record CancellationReportAck(WatermarkAck ack) implements PeerMessage {}

    /** The leader's answer to a standing. */
    record Delegation(LeaseDelegation delegation) implements PeerMessage {}
}
