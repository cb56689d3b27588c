package org.woadloom.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.core.cancellation.Vouch;
import org.woadloom.core.cancellation.VouchTaken;
import org.woadloom.core.care.NodeStanding;
import org.woadloom.core.care.Warrant;
import org.woadloom.http.Response;
import org.woadloom.leader.Election;
import org.woadloom.net.Loop;
import org.woadloom.peer.PeerMessage;
import org.woadloom.peer.PeerNet;
import org.woadloom.state.JobRecord;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.WireException;

/** What this node knows of the others' reach, and what it has them carry. */
final class PeerLinks implements PeerNet.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLinks.class);
    private static final long PING_MICROS = 700_000;
    private static final long REACH_MICROS = 2_500_000;
    private static final long CARRY_MICROS = 3_500_000;
    private static final int REFUSALS = 2;

    /** What arrives for this node. */
    interface Inbox {
        void hint(JobRecord record, long stamp);

        void carried(byte[] report, Consumer<Response> answer);

        /** How this node stands, for the leader; null where it does not speak of that. */
        NodeStanding standing();

        void stands(String peer, NodeStanding standing);

        void warranted(Warrant warrant);

        /** It is time to vouch for what this node told. */
        void vouch();

        void vouched(String peer, Vouch vouch);

        void taken(VouchTaken taken);

        /** A peer knows of this term, and leads in it or does not. */
        void spoke(String peer, long term, boolean leads);
    }

    private final Loop loop;
    private final PeerNet net;
    private final List<String> labels;
    private final Election election;
    private final Rollout rollout;
    private final Inbox inbox;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<Long, Consumer<Response>> carrying = new HashMap<>();
    private long ids;
    private long refused;

    private static final class Link {
        boolean connected;
        long heardMicros = Long.MIN_VALUE / 2;
        /** The leader's term during which a connection to it stood. */
        long connectedInTerm;
        int refusals;
    }

    PeerLinks(Loop loop, PeerNet net, List<String> labels, Election election, Rollout rollout,
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
        if (leader != null && !election.leads()) {
            Link link = link(leader);
            if (link.connected) {
                link.connectedInTerm = election.knownTerm();
            }
        }
        sayTerm();
        NodeStanding standing = inbox.standing();
        if (standing != null && leader != null) {
            PeerMessage mine = new PeerMessage.Stands(standing);
            if (election.leads()) {
                inbox.stands(leader, standing);
                // One that was started while the state service is down learns from it what is agreed on.
                labels.forEach(label -> net.send(label, mine));
            } else {
                net.send(leader, mine);
            }
        }
        inbox.vouch();
        loop.schedule(PING_MICROS, this::ping);
    }

    /** Tells all peers which term this node knows of, at once where that has changed: users may wait for just that. */
    void sayTerm() {
        PeerMessage said = term();
        labels.forEach(label -> net.send(label, said));
    }

    private PeerMessage term() {
        String leader = election.leader();
        return new PeerMessage.Ping(election.knownTerm(), leader == null ? "" : leader, rollout.said());
    }

    private Link link(String label) {
        return links.computeIfAbsent(label, l -> new Link());
    }

    /** True if the peer was heard lately and the direct link to it stands. */
    boolean reaches(String label) {
        Link link = link(label);
        return link.connected && loop.nowMicros() - link.heardMicros < REACH_MICROS;
    }

    /** The peers that are reached, in the order of the settings. */
    List<String> reached() {
        return labels.stream().filter(this::reaches).toList();
    }

    /**
     * True if the peer takes no connections, and has most likely ended. Where others refuse as well and none can be reached,
     * it is more likely the way between nodes that is closed.
     */
    boolean gone(String label) {
        if (!refuses(label) || link(label).connected) {
            return false;
        }
        boolean othersRefuse = false;
        for (String other : labels) {
            if (!other.equals(label)) {
                if (reaches(other)) {
                    return true;
                }
                othersRefuse |= refuses(other);
            }
        }
        return !othersRefuse;
    }

    /** True if the peer's host says that it takes no connections: the way to it is open, for workers at least. */
    boolean refuses(String label) {
        return link(label).refusals > 0;
    }

    void hint(String leader, JobRecord record, long stamp) {
        net.send(leader, new PeerMessage.Hint(Cbor.encode(record.toMap(rollout.format())), stamp));
    }

    void warrant(String label, Warrant warrant) {
        net.send(label, new PeerMessage.Warranted(warrant));
    }

    void vouch(String leader, Vouch vouch) {
        net.send(leader, new PeerMessage.Vouched(vouch));
    }

    void taken(String label, VouchTaken taken) {
        net.send(label, new PeerMessage.Taken(taken));
    }

    /** Reports that were not carried because the queue to the leader was full, since the process began. */
    long refused() {
        return refused;
    }

    /** Has the leader decide a report; the answer is 503 if none comes while the worker waits. */
    void carry(String leader, byte[] report, Consumer<Response> answer) {
        if (!net.accepts(leader)) {
            refused++;
            answer.accept(Response.unavailable("too much waits for the leader"));
            return;
        }
        long id = ++ids;
        carrying.put(id, answer);
        net.send(leader, new PeerMessage.Carry(id, report));
        loop.schedule(CARRY_MICROS, () -> {
            Consumer<Response> waiting = carrying.remove(id);
            if (waiting != null) {
                waiting.accept(Response.unavailable("the leader does not answer"));
            }
        });
    }

    @Override
    public void received(String from, PeerMessage message) {
        link(from).heardMicros = loop.nowMicros();
        if (message instanceof PeerMessage.Ping ping) {
            rollout.heard(from, ping.rollout());
            inbox.spoke(from, ping.term(), from.equals(ping.leader()));
            if (ping.leader() != null && !ping.leader().isEmpty()) {
                election.heardOf(ping.leader(), ping.term());
            }
        } else if (message instanceof PeerMessage.Hint hint) {
            try {
                Map<String, Object> record = Cbor.decodeMap(hint.record());
                rollout.seen(JobRecord.formatOf(record));
                inbox.hint(JobRecord.parse(record), hint.stamp());
            } catch (WireException e) {
                LOG.error("event=job_notification_unreadable node={} error=\"{}\"", from, e.getMessage());
            }
        } else if (message instanceof PeerMessage.Stands stands) {
            rollout.spokenOfCare();
            inbox.stands(from, stands.standing());
        } else if (message instanceof PeerMessage.Warranted warranted) {
            inbox.warranted(warranted.warrant());
        } else if (message instanceof PeerMessage.Vouched vouched) {
            inbox.vouched(from, vouched.vouch());
        } else if (message instanceof PeerMessage.Taken taken) {
            inbox.taken(taken.taken());
        } else if (message instanceof PeerMessage.Carry carry) {
            inbox.carried(carry.report(), response -> net.send(from,
                    new PeerMessage.Carried(carry.id(), response.status(), response.body())));
        } else if (message instanceof PeerMessage.Carried carried) {
            Consumer<Response> waiting = carrying.remove(carried.id());
            if (waiting != null) {
                waiting.accept(Response.cbor(carried.status(), carried.answer()));
            }
        }
    }

    @Override
    public void connected(String label) {
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
    public void lost(String label, boolean refused) {
        Link link = link(label);
        link.connected = false;
        if (!refused) {
            return;
        }
        link.refusals++;
        // A leader that we could reach in its term, and that refuses now, is most likely dead. If it only refuses us,
        // it will lead again in a term in which we never reached it, and then its grant decides: no ping-pong.
        if (link.refusals >= REFUSALS && label.equals(election.leader())
                && link.connectedInTerm == election.knownTerm() && gone(label)) {
            election.takeOverFrom(label);
        }
    }
}
