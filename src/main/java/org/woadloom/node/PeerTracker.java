package org.woadloom.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.core.cancellation.WatermarkAck;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.http.Response;
import org.woadloom.leader.Election;
import org.woadloom.net.EventLoop;
import org.woadloom.peer.PeerMessage;
import org.woadloom.peer.PeerTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.JobRecord;

/**
 * Exchanges messages with the other nodes, and tracks which of them can be reached. Confined to the
 * event loop.
 */
final class PeerTracker implements PeerTransport.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PeerTracker.class);
    private static final long PING_MICROS = 700_000;

    /** A leader that refuses this many connections in a row has most likely stopped. */
    private static final int REFUSALS_OF_STOPPED_LEADER = 2;

    /** Handles the messages for this node, and supplies the status that it sends. */
    interface Inbox {
        void onJobChanged(JobRecord record, long revision);

        void onForwardedHeartbeat(byte[] heartbeat, Consumer<Response> answer);

        /** This node's status for the leader, or null if it sends none. */
        PeerStatus status();

        void onPeerStatus(String peer, PeerStatus status);

        void onDelegation(LeaseDelegation delegation);

        /**
         * Called with every ping: sends the leader a watermark report of confirmed cancellations.
         */
        void sendCancellationReport();

        void onCancellationReport(String peer, WatermarkReport report);

        void onCancellationReportAck(WatermarkAck ack);

        /** Called when a peer reports which term it knows of and whether it leads in that term. */
        void onPeerTerm(String peer, long term, boolean leads);
    }

    private final EventLoop loop;
    private final PeerTransport transport;
    private final List<String> labels;
    private final Election election;
    private final RolloutParticipant rollout;
    private final Inbox inbox;
    private final ForwardedHeartbeats forwarded;
    private final Map<String, PeerLink> links = new HashMap<>();

    /**
     * @param labels the labels of the other nodes
     */
    PeerTracker(
            EventLoop loop,
            PeerTransport transport,
            List<String> labels,
            Election election,
            RolloutParticipant rollout,
            Inbox inbox,
            Random random) {
        this.loop = loop;
        this.transport = transport;
        this.labels = labels;
        this.election = election;
        this.rollout = rollout;
        this.inbox = inbox;
        forwarded = new ForwardedHeartbeats(loop, transport, random);
    }

    void start() {
        transport.start(this);
        ping();
    }

    private void ping() {
        String leader = election.leader();
        if (leader != null && !election.isLeader()) {
            PeerLink link = link(leader);
            if (link.isConnected()) {
                link.onConnectedToLeader(election.leaderTerm());
            }
        }
        announceTerm();
        PeerStatus status = inbox.status();
        if (status != null && leader != null) {
            sendStatus(leader, status);
        }
        inbox.sendCancellationReport();
        loop.schedule(PING_MICROS, this::ping);
    }

    private void sendStatus(String leader, PeerStatus status) {
        PeerMessage message = new PeerMessage.StatusReport(status);
        if (election.isLeader()) {
            inbox.onPeerStatus(leader, status);
            // A node that started while the store is down learns from this message that delegation
            // is on.
            labels.forEach(label -> transport.send(label, message));
        } else {
            transport.send(leader, message);
        }
    }

    /**
     * Tells all peers which term this node knows of. Called at once when that changes, because the
     * confirmations that users wait for may depend on it.
     */
    void announceTerm() {
        PeerMessage message = termMessage();
        labels.forEach(label -> transport.send(label, message));
    }

    private PeerMessage termMessage() {
        String leader = election.leader();
        return new PeerMessage.Ping(
                election.leaderTerm(), leader == null ? "" : leader, rollout.view());
    }

    private PeerLink link(String label) {
        return links.computeIfAbsent(label, l -> new PeerLink());
    }

    /** True if the direct connection to the peer is open and the peer was heard from recently. */
    boolean isReachable(String label) {
        return link(label).isReachable(loop.nowMicros());
    }

    /** The labels of the reachable peers, in the order of the settings. */
    List<String> reachablePeers() {
        return labels.stream().filter(this::isReachable).toList();
    }

    /** The label of the leader, possibly this node, or null if messages can't reach it. */
    String reachableLeader() {
        String leader = election.leader();
        boolean isReachable = leader != null && (election.isLeader() || isReachable(leader));
        return isReachable ? leader : null;
    }

    /**
     * True if the peer refuses connections and has most likely stopped. If other peers refuse as
     * well and none can be reached, the network between the nodes is more likely to be blocked.
     */
    boolean hasLikelyStopped(String label) {
        if (!isRefusingConnections(label) || link(label).isConnected()) {
            return false;
        }
        boolean othersRefuse = false;
        for (String other : labels) {
            if (!other.equals(label)) {
                if (isReachable(other)) {
                    return true;
                }
                othersRefuse |= isRefusingConnections(other);
            }
        }
        return !othersRefuse;
    }

    /**
     * True if the peer's host refuses connections. That shows that the host can be reached, at
     * least by agents.
     */
    boolean isRefusingConnections(String label) {
        return link(label).refusals() > 0;
    }

    void notifyJobChanged(String leader, JobRecord record, long revision) {
        byte[] content = Cbor.encode(record.toMap(rollout.format()));
        transport.send(leader, new PeerMessage.JobChangeNotification(content, revision));
    }

    void sendDelegation(String label, LeaseDelegation delegation) {
        transport.send(label, new PeerMessage.Delegation(delegation));
    }

    void sendCancellationReport(String leader, WatermarkReport report) {
        transport.send(leader, new PeerMessage.CancellationReport(report));
    }

    void sendCancellationReportAck(String label, WatermarkAck ack) {
        transport.send(label, new PeerMessage.CancellationReportAck(ack));
    }

    /** Has the leader decide a heartbeat; answers 503 if the leader does not answer in time. */
    void forward(String leader, byte[] heartbeat, Consumer<Response> answer) {
        forwarded.forward(leader, heartbeat, answer);
    }

    /**
     * Heartbeats that were refused because the send queue to the leader was full, since the process
     * started.
     */
    long refusedHeartbeats() {
        return forwarded.refusedHeartbeats();
    }

    @Override
    public void onMessage(String from, PeerMessage message) {
        link(from).onMessage(loop.nowMicros());
        if (message instanceof PeerMessage.Ping ping) {
            onPing(from, ping);
        } else if (message instanceof PeerMessage.JobChangeNotification notification) {
            onJobChangeNotification(from, notification);
        } else if (message instanceof PeerMessage.StatusReport report) {
            rollout.onDelegationMessage();
            inbox.onPeerStatus(from, report.status());
        } else if (message instanceof PeerMessage.Delegation granted) {
            inbox.onDelegation(granted.delegation());
        } else if (message instanceof PeerMessage.CancellationReport report) {
            inbox.onCancellationReport(from, report.report());
        } else if (message instanceof PeerMessage.CancellationReportAck acknowledged) {
            inbox.onCancellationReportAck(acknowledged.ack());
        } else if (message instanceof PeerMessage.ForwardedHeartbeat forward) {
            onForwardedHeartbeat(from, forward);
        } else if (message instanceof PeerMessage.ForwardedAnswer answer) {
            forwarded.onAnswer(answer);
        }
    }

    private void onPing(String from, PeerMessage.Ping ping) {
        rollout.onPeerView(from, ping.rollout());
        inbox.onPeerTerm(from, ping.term(), from.equals(ping.leader()));
        if (ping.leader() != null && !ping.leader().isEmpty()) {
            election.onPeerLeader(ping.leader(), ping.term());
        }
    }

    private void onJobChangeNotification(
            String from, PeerMessage.JobChangeNotification notification) {
        try {
            Map<String, Object> record = Cbor.decodeMap(notification.record());
            rollout.onFormatSeen(JobRecord.formatOf(record));
            inbox.onJobChanged(JobRecord.parse(record), notification.revision());
        } catch (MalformedMessageException e) {
            LOG.error(
                    "event=job_notification_unreadable node={} error=\"{}\"", from, e.getMessage());
        }
    }

    private void onForwardedHeartbeat(String from, PeerMessage.ForwardedHeartbeat forward) {
        inbox.onForwardedHeartbeat(
                forward.heartbeat(),
                response ->
                        transport.send(
                                from,
                                new PeerMessage.ForwardedAnswer(
                                        forward.id(), response.status(), response.body())));
    }

    @Override
    public void onConnected(String label) {
        PeerLink link = link(label);
        link.onConnected(loop.nowMicros());
        if (label.equals(election.leader())) {
            link.onConnectedToLeader(election.leaderTerm());
        }
        // A process that has just started waits for a term message of each peer.
        transport.send(label, termMessage());
    }

    @Override
    public void onConnectionLost(String label, boolean refused) {
        PeerLink link = link(label);
        link.onConnectionLost();
        if (!refused) {
            return;
        }
        link.onConnectionRefused();
        // A leader that this node reached in the current term, and that refuses connections now,
        // has most likely stopped. If it only refuses this node, it will lead again in a term in
        // which this node never reached it. From then on only its store lease decides, so the
        // leadership does not flap.
        if (link.refusals() >= REFUSALS_OF_STOPPED_LEADER
                && label.equals(election.leader())
                && link.wasConnectedInTerm(election.leaderTerm())
                && hasLikelyStopped(label)) {
            election.takeOverFrom(label);
        }
    }
}
