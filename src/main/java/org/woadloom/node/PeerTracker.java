package org.woadloom.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

/** What this node knows of the others' reach, and what it has them carry. */
final class PeerTracker implements PeerTransport.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PeerTracker.class);
    private static final long PING_MICROS = 700_000;
    private static final long REACH_MICROS = 2_500_000;
    private static final long CARRY_MICROS = 3_500_000;
    private static final int REFUSALS = 2;

    /** What arrives for this node. */
    interface Inbox {
        void onJobChanged(JobRecord record, long revision);

        void onForwardedHeartbeat(byte[] report, Consumer<Response> answer);

        /** How this node stands, for the leader; null where it does not speak of that. */
        PeerStatus status();

        void onPeerStatus(String peer, PeerStatus status);

        void onDelegation(LeaseDelegation delegation);

        /** It is time to vouch for what this node told. */
        void sendCancellationReport();

        void onCancellationReport(String peer, WatermarkReport report);

        void onCancellationReportAck(WatermarkAck ack);

        /** A peer knows of this term, and leads in it or does not. */
        void onPeerTerm(String peer, long term, boolean leads);
    }

    private final EventLoop loop;
    private final PeerTransport net;
    private final List<String> labels;
    private final Election election;
    private final RolloutParticipant rollout;
    private final Inbox inbox;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<Long, Consumer<Response>> forwarded = new HashMap<>();
    private long ids;
    private long refused;

    private static final class Link {
        boolean connected;
        long heardMicros = Long.MIN_VALUE / 2;

        /** The leader's term during which a connection to it stood. */
        long connectedInTerm;

        int refusals;
    }

    PeerTracker(
            EventLoop loop,
            PeerTransport net,
            List<String> labels,
            Election election,
            RolloutParticipant rollout,
            Inbox inbox) {
        this.labels = labels;
        this.loop = loop;
        this.net = net;
        this.election = election;
        this.rollout = rollout;
        this.inbox = inbox;
    }

    void start() {
        net.start(this);
        ping();
    }

    private void ping() {
        String leader = election.leader();
        if (leader != null && !election.isLeader()) {
            Link link = link(leader);
            if (link.connected) {
                link.connectedInTerm = election.knownTerm();
            }
        }
        announceTerm();
        PeerStatus status = inbox.status();
        if (status != null && leader != null) {
            PeerMessage mine = new PeerMessage.StatusReport(status);
            if (election.isLeader()) {
                inbox.onPeerStatus(leader, status);
                // One that was started while the state service is down learns from it what is
                // agreed on.
                labels.forEach(label -> net.send(label, mine));
            } else {
                net.send(leader, mine);
            }
        }
        inbox.sendCancellationReport();
        loop.schedule(PING_MICROS, this::ping);
    }

    /**
     * Tells all peers which term this node knows of, at once where that has changed: users may wait
     * for just that.
     */
    void announceTerm() {
        PeerMessage said = term();
        labels.forEach(label -> net.send(label, said));
    }

    private PeerMessage term() {
        String leader = election.leader();
        return new PeerMessage.Ping(
                election.knownTerm(), leader == null ? "" : leader, rollout.view());
    }

    private Link link(String label) {
        return links.computeIfAbsent(label, l -> new Link());
    }

    /** True if the peer was heard lately and the direct link to it stands. */
    boolean isReachable(String label) {
        Link link = link(label);
        return link.connected && loop.nowMicros() - link.heardMicros < REACH_MICROS;
    }

    /** The peers that are reached, in the order of the settings. */
    List<String> reachablePeers() {
        return labels.stream().filter(this::isReachable).toList();
    }

    /**
     * True if the peer takes no connections, and has most likely ended. Where others refuse as well
     * and none can be reached, it is more likely the way between nodes that is closed.
     */
    boolean isGone(String label) {
        if (!isRefusing(label) || link(label).connected) {
            return false;
        }
        boolean othersRefuse = false;
        for (String other : labels) {
            if (!other.equals(label)) {
                if (isReachable(other)) {
                    return true;
                }
                othersRefuse |= isRefusing(other);
            }
        }
        return !othersRefuse;
    }

    /**
     * True if the peer's host says that it takes no connections: the way to it is open, for workers
     * at least.
     */
    boolean isRefusing(String label) {
        return link(label).refusals > 0;
    }

    void notifyJobChanged(String leader, JobRecord record, long revision) {
        net.send(
                leader,
                new PeerMessage.JobChangeNotification(
                        Cbor.encode(record.toMap(rollout.format())), revision));
    }

    void sendDelegation(String label, LeaseDelegation delegation) {
        net.send(label, new PeerMessage.Delegation(delegation));
    }

    void sendCancellationReport(String leader, WatermarkReport report) {
        net.send(leader, new PeerMessage.CancellationReport(report));
    }

    void sendCancellationReportAck(String label, WatermarkAck ack) {
        net.send(label, new PeerMessage.CancellationReportAck(ack));
    }

    /**
     * Reports that were not carried because the queue to the leader was full, since the process
     * began.
     */
    long refused() {
        return refused;
    }

    /** Has the leader decide a report; the answer is 503 if none comes while the worker waits. */
    void forward(String leader, byte[] report, Consumer<Response> answer) {
        if (!net.accepts(leader)) {
            refused++;
            answer.accept(Response.unavailable("too much waits for the leader"));
            return;
        }
        long id = ++ids;
        forwarded.put(id, answer);
        net.send(leader, new PeerMessage.ForwardHeartbeat(id, report));
        loop.schedule(
                CARRY_MICROS,
                () -> {
                    Consumer<Response> waiting = forwarded.remove(id);
                    if (waiting != null) {
                        waiting.accept(Response.unavailable("the leader does not answer"));
                    }
                });
    }

    @Override
    public void onMessage(String from, PeerMessage message) {
        link(from).heardMicros = loop.nowMicros();
        if (message instanceof PeerMessage.Ping ping) {
            rollout.onPeerView(from, ping.rollout());
            inbox.onPeerTerm(from, ping.term(), from.equals(ping.leader()));
            if (ping.leader() != null && !ping.leader().isEmpty()) {
                election.onPeerLeader(ping.leader(), ping.term());
            }
        } else if (message instanceof PeerMessage.JobChangeNotification hint) {
            try {
                Map<String, Object> record = Cbor.decodeMap(hint.record());
                rollout.onFormatSeen(JobRecord.formatOf(record));
                inbox.onJobChanged(JobRecord.parse(record), hint.revision());
            } catch (MalformedMessageException e) {
                LOG.error(
                        "event=job_notification_unreadable node={} error=\"{}\"",
                        from,
                        e.getMessage());
            }
        } else if (message instanceof PeerMessage.StatusReport stands) {
            rollout.onDelegationMessage();
            inbox.onPeerStatus(from, stands.status());
        } else if (message instanceof PeerMessage.Delegation warranted) {
            inbox.onDelegation(warranted.delegation());
        } else if (message instanceof PeerMessage.CancellationReport vouched) {
            inbox.onCancellationReport(from, vouched.report());
        } else if (message instanceof PeerMessage.CancellationReportAck taken) {
            inbox.onCancellationReportAck(taken.ack());
        } else if (message instanceof PeerMessage.ForwardHeartbeat carry) {
            inbox.onForwardedHeartbeat(
                    carry.heartbeat(),
                    response ->
                            net.send(
                                    from,
                                    new PeerMessage.ForwardedAnswer(
                                            carry.id(), response.status(), response.body())));
        } else if (message instanceof PeerMessage.ForwardedAnswer carried) {
            Consumer<Response> waiting = forwarded.remove(carried.id());
            if (waiting != null) {
                waiting.accept(Response.cbor(carried.status(), carried.answer()));
            }
        }
    }

    @Override
    public void onConnected(String label) {
        Link link = link(label);
        link.connected = true;
        link.refusals = 0;
        link.heardMicros = loop.nowMicros();
        if (label.equals(election.leader())) {
            link.connectedInTerm = election.knownTerm();
        }
        // A process that has just begun waits for a word of each.
        net.send(label, term());
    }

    @Override
    public void onConnectionLost(String label, boolean refused) {
        Link link = link(label);
        link.connected = false;
        if (!refused) {
            return;
        }
        link.refusals++;
        // A leader that we could reach in its term, and that refuses now, is most likely dead. If
        // it only refuses us,
        // it will lead again in a term in which we never reached it, and then its grant decides: no
        // ping-pong.
        if (link.refusals >= REFUSALS
                && label.equals(election.leader())
                && link.connectedInTerm == election.knownTerm()
                && isGone(label)) {
            election.takeOverFrom(label);
        }
    }
}
