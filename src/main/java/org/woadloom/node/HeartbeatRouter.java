package org.woadloom.node;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.woadloom.agent.AgentConnectionBalancer;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.http.Response;
import org.woadloom.leader.Election;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Routes each heartbeat to the leader, which decides it. A node that does not lead redirects the
 * agent to the leader, forwards the heartbeat over the peer connection, relays it through the
 * store, or holds it while there is no leader. Confined to the event loop.
 */
final class HeartbeatRouter {
    /**
     * The maximum number of heartbeats that wait for a leader. After a shutdown of the whole
     * cluster every agent sends its heartbeat within one interval, before there is a leader. The
     * bound is half more than the largest fleet of about 4,000 machines, because some agents send
     * theirs again. A heartbeat takes about a kilobyte.
     */
    static final int MAX_WAITING_HEARTBEATS = 6_000;

    /**
     * How long a heartbeat waits while a new leader loads its state: hundreds of records, with code
     * that the JIT has not compiled yet. An agent waits four seconds for its answer.
     */
    private static final long LOADING_TIMEOUT_MICROS = 2_500_000;

    private static final long LOADING_POLL_MICROS = 20_000;
    private static final int BAD_REQUEST = 400;

    private final EventLoop loop;
    private final String label;
    private final Election election;
    private final PeerTracker peers;
    private final StoreRelay storeRelay;
    private final DelegatedLeaseRenewer delegatedRenewer;
    private final CancellationConfirmer cancellationConfirmer;
    private final SchedulerDriver schedulerDriver;
    private final AgentConnectionBalancer connectionBalancer;
    private final BooleanSupplier isIsolated;
    private final DeferredHeartbeats deferred;
    private final RedirectPolicy redirectPolicy = new RedirectPolicy();

    /**
     * @param label the label of this node
     * @param isIsolated whether only this node has lost the store
     */
    HeartbeatRouter(
            EventLoop loop,
            String label,
            Election election,
            PeerTracker peers,
            StoreRelay storeRelay,
            DelegatedLeaseRenewer delegatedRenewer,
            CancellationConfirmer cancellationConfirmer,
            SchedulerDriver schedulerDriver,
            AgentConnectionBalancer connectionBalancer,
            BooleanSupplier isIsolated) {
        this.loop = loop;
        this.label = label;
        this.election = election;
        this.peers = peers;
        this.storeRelay = storeRelay;
        this.delegatedRenewer = delegatedRenewer;
        this.cancellationConfirmer = cancellationConfirmer;
        this.schedulerDriver = schedulerDriver;
        this.connectionBalancer = connectionBalancer;
        this.isIsolated = isIsolated;
        deferred = new DeferredHeartbeats(loop, MAX_WAITING_HEARTBEATS, this::route);
    }

    /**
     * Heartbeats that were sent back because too many waited for a leader, since the process
     * started.
     */
    long refusedHeartbeats() {
        return deferred.refusedHeartbeats();
    }

    /** Handles a heartbeat of an agent that is connected to this node. */
    void onHeartbeat(byte[] body, Consumer<Response> answer) {
        Consumer<Response> withDelegation =
                response -> answer.accept(orDelegatedRenewal(body, response));
        long deadlineMicros = loop.nowMicros() + DeferredHeartbeats.MAX_WAIT_MICROS;
        route(new PendingHeartbeat(body, withDelegation, deadlineMicros));
    }

    /**
     * If the response does not renew the agent's lease because no node that may do so was reached,
     * replaces it by a renewal from this node, provided that the {@link DelegatedLeaseRenewer} may
     * renew the lease by now: the leader and the store may have become unreachable while the
     * heartbeat was waiting.
     */
    private Response orDelegatedRenewal(byte[] body, Response response) {
        if (!HeartbeatResponses.isUndecided(response)) {
            return response;
        }
        Response delegated = delegatedRenewer.tryRenew(body);
        return delegated == null ? response : delegated;
    }

    /** Handles a heartbeat that another node forwarded or relayed to this node as the leader. */
    void onForwardedHeartbeat(byte[] body, Consumer<Response> answer) {
        long deadlineMicros = loop.nowMicros() + LOADING_TIMEOUT_MICROS;
        decide(new PendingHeartbeat(body, answer, deadlineMicros), false);
    }

    /**
     * Routes all waiting heartbeats again, because a leader is known or this node may renew leases.
     */
    void rerouteWaiting() {
        deferred.releaseAll();
        storeRelay.withdrawAll().forEach(this::route);
    }

    private void route(PendingHeartbeat heartbeat) {
        if (election.isLeader()) {
            long deadlineMicros = loop.nowMicros() + LOADING_TIMEOUT_MICROS;
            decide(
                    new PendingHeartbeat(heartbeat.body(), heartbeat.answer(), deadlineMicros),
                    true);
            return;
        }
        Response delegated = delegatedRenewer.tryRenew(heartbeat.body());
        if (delegated != null) {
            heartbeat.answer().accept(delegated);
            return;
        }
        Heartbeat content = parseOrReject(heartbeat);
        if (content == null) {
            return;
        }
        String leader = election.leader();
        if (leader == null || leader.equals(label) || peers.hasLikelyStopped(leader)) {
            awaitLeader(heartbeat);
        } else {
            sendToLeader(leader, content.host(), heartbeat);
        }
    }

    /** Parses a heartbeat. If it is malformed, answers its agent with 400 and returns null. */
    private static Heartbeat parseOrReject(PendingHeartbeat heartbeat) {
        try {
            return Heartbeat.read(heartbeat.body());
        } catch (MalformedMessageException e) {
            heartbeat.answer().accept(Response.error(BAD_REQUEST, e.getMessage()));
            return null;
        }
    }

    /**
     * Holds the heartbeat while there is no leader. If its agent were sent elsewhere, it would use
     * up its lease on nodes that have stopped or are partitioned.
     */
    private void awaitLeader(PendingHeartbeat heartbeat) {
        if (isIsolated.getAsBoolean() && peers.reachablePeers().isEmpty()) {
            // This node can't learn of a leader; the other nodes can.
            heartbeat.answer().accept(HeartbeatResponses.wrongNode());
        } else {
            deferred.defer(heartbeat);
        }
    }

    private void sendToLeader(String leader, String host, PendingHeartbeat heartbeat) {
        long now = loop.nowMicros();
        boolean isLeaderReachable = peers.isReachable(leader);
        RedirectPolicy.Contact contact = redirectPolicy.classify(host, now);
        if (!isLeaderReachable && (contact.hasReturned() || !peers.isRefusingConnections(leader))) {
            // A leader that is silent rather than refusing connections is partitioned from this
            // node. The agent would find that out only by waiting for most of its lease.
            storeRelay.relay(host, heartbeat);
            return;
        }
        if (redirectPolicy.shouldForward(host, contact, isLeaderReachable, now)) {
            peers.forward(leader, heartbeat.body(), heartbeat.answer());
        } else {
            heartbeat.answer().accept(HeartbeatResponses.redirect(leader));
        }
    }

    /**
     * @param direct whether the agent is connected to this node
     */
    private void decide(PendingHeartbeat heartbeat, boolean direct) {
        boolean isLeader = election.isLeader();
        boolean isReady = schedulerDriver.isReady();
        if (isLeader && !isReady && loop.nowMicros() < heartbeat.deadlineMicros()) {
            // The leader is still loading its state. An agent that is sent away now would be
            // without its leader for a second or more.
            loop.schedule(LOADING_POLL_MICROS, () -> decide(heartbeat, direct));
            return;
        }
        if (!isLeader || !isReady) {
            heartbeat.answer().accept(HeartbeatResponses.wrongNode());
            return;
        }
        if (cancellationConfirmer.mustSuspendLeaseRenewal()) {
            heartbeat
                    .answer()
                    .accept(
                            Response.unavailable(
                                    "the leader has been cut off from the state service for too"
                                            + " long"));
            return;
        }
        Heartbeat content = parseOrReject(heartbeat);
        if (content == null) {
            return;
        }
        String redirectTarget = redirectTarget(content, direct);
        if (redirectTarget != null) {
            heartbeat.answer().accept(HeartbeatResponses.redirect(redirectTarget));
            return;
        }
        schedulerDriver.onHeartbeat(content, callback(heartbeat.answer()));
    }

    private static PendingAnswers.Callback callback(Consumer<Response> answer) {
        return new PendingAnswers.Callback() {
            @Override
            public void onAnswer(SchedulerAction.AnswerHeartbeat decision) {
                answer.accept(HeartbeatResponses.decided(decision));
            }

            @Override
            public void onRejected() {
                answer.accept(Response.unavailable("the leader could not accept the heartbeat"));
            }
        };
    }

    /** The node that an agent should connect to instead of this one, or null if it may stay. */
    private String redirectTarget(Heartbeat heartbeat, boolean direct) {
        if (!direct) {
            connectionBalancer.onForwarded(heartbeat.host());
            return null;
        }
        long tokenTerm = heartbeat.fencingToken() >> AgentLiveness.FENCE_BITS;
        boolean renewedInTerm = tokenTerm == election.leaderTerm();
        return connectionBalancer.redirectTarget(
                heartbeat.host(), renewedInTerm, peers.reachablePeers(), loop.nowMicros());
    }
}
