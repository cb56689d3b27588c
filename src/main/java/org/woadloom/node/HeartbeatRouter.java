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
 * Finds for each heartbeat who decides it. The leader does; another node redirects the agent to the
 * leader, forwards the heartbeat over the peer link, relays it through the store, or keeps it while
 * there is no leader. Belongs to the event loop.
 */
final class HeartbeatRouter {
    /**
     * After a full stop every agent sends its heartbeat within one interval while there is no
     * leader yet: half more than the largest fleet of about 4,000 machines, as some repeat theirs.
     * A heartbeat takes about a kilobyte.
     */
    static final int MAX_WAITING_HEARTBEATS = 6_000;

    /**
     * A new leader reads hundreds of records with cold code; an agent waits four seconds for its
     * answer.
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
    private final CancellationConfirmer confirmations;
    private final LeaderActions leaderActions;
    private final AgentConnectionBalancer connectionBalancer;
    private final BooleanSupplier isIsolated;
    private final DeferredHeartbeats deferred;
    private final AgentVisits visits = new AgentVisits();

    /**
     * @param label of this node
     * @param isIsolated whether the store is lost to this node alone
     */
    HeartbeatRouter(
            EventLoop loop,
            String label,
            Election election,
            PeerTracker peers,
            StoreRelay storeRelay,
            DelegatedLeaseRenewer delegatedRenewer,
            CancellationConfirmer confirmations,
            LeaderActions leaderActions,
            AgentConnectionBalancer connectionBalancer,
            BooleanSupplier isIsolated) {
        this.loop = loop;
        this.label = label;
        this.election = election;
        this.peers = peers;
        this.storeRelay = storeRelay;
        this.delegatedRenewer = delegatedRenewer;
        this.confirmations = confirmations;
        this.leaderActions = leaderActions;
        this.connectionBalancer = connectionBalancer;
        this.isIsolated = isIsolated;
        deferred = new DeferredHeartbeats(loop, MAX_WAITING_HEARTBEATS, this::route);
    }

    /** Heartbeats that were sent back because too many waited for a leader. */
    long refused() {
        return deferred.refused();
    }

    /** Takes a heartbeat from an agent that is connected to this node. */
    void onHeartbeat(byte[] body, Consumer<Response> answer) {
        Consumer<Response> withDelegation = response -> answer.accept(renewed(body, response));
        long untilMicros = loop.nowMicros() + DeferredHeartbeats.WAIT_MICROS;
        route(new PendingHeartbeat(body, withDelegation, untilMicros));
    }

    /**
     * Whatever a heartbeat waited for in vain, leader and store may both be out of reach by now,
     * and this node may renew the lease itself.
     */
    private Response renewed(byte[] body, Response response) {
        if (!HeartbeatResponses.isUndecided(response)) {
            return response;
        }
        Response delegated = delegatedRenewer.answer(body);
        return delegated == null ? response : delegated;
    }

    /** Takes a heartbeat that another node forwarded or relayed to this one as the leader. */
    void onForwardedHeartbeat(byte[] body, Consumer<Response> answer) {
        long untilMicros = loop.nowMicros() + LOADING_TIMEOUT_MICROS;
        decide(new PendingHeartbeat(body, answer, untilMicros), false);
    }

    /** Routes all heartbeats that wait anew: there is somewhere to go now. */
    void rerouteWaiting() {
        deferred.releaseAll();
        storeRelay.withdrawAll().forEach(this::route);
    }

    private void route(PendingHeartbeat heartbeat) {
        if (election.isLeader()) {
            long untilMicros = loop.nowMicros() + LOADING_TIMEOUT_MICROS;
            decide(new PendingHeartbeat(heartbeat.body(), heartbeat.answer(), untilMicros), true);
            return;
        }
        Response delegated = delegatedRenewer.answer(heartbeat.body());
        if (delegated != null) {
            heartbeat.answer().accept(delegated);
            return;
        }
        Heartbeat content = readOrRefuse(heartbeat);
        if (content == null) {
            return;
        }
        String leader = election.leader();
        if (leader == null || leader.equals(label) || peers.isGone(leader)) {
            awaitLeader(heartbeat);
        } else {
            sendToLeader(leader, content.host(), heartbeat);
        }
    }

    /** Null if the heartbeat can't be read; its agent has been told so then. */
    private static Heartbeat readOrRefuse(PendingHeartbeat heartbeat) {
        try {
            return Heartbeat.read(heartbeat.body());
        } catch (MalformedMessageException e) {
            heartbeat.answer().accept(Response.error(BAD_REQUEST, e.getMessage()));
            return null;
        }
    }

    /**
     * While there is no leader the heartbeat waits here: sent on, its agent would spend its lease
     * on nodes that have ended or are cut off.
     */
    private void awaitLeader(PendingHeartbeat heartbeat) {
        if (isIsolated.getAsBoolean() && peers.reachablePeers().isEmpty()) {
            // No news of a leader will come here; the others have some, or will have.
            heartbeat.answer().accept(HeartbeatResponses.wrongNode());
        } else {
            deferred.defer(heartbeat);
        }
    }

    private void sendToLeader(String leader, String host, PendingHeartbeat heartbeat) {
        long now = loop.nowMicros();
        boolean isLeaderReachable = peers.isReachable(leader);
        AgentVisits.Kind visit = visits.kind(host, now);
        if (!isLeaderReachable && (visit.isReturn() || !peers.isRefusing(leader))) {
            // Silence means a partition, which the agent would only find out by waiting for most
            // of its lease.
            storeRelay.relay(host, heartbeat);
            return;
        }
        if (visits.mayForward(host, visit, isLeaderReachable, now)) {
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
        boolean isReady = leaderActions.isReady();
        if (isLeader && !isReady && loop.nowMicros() < heartbeat.untilMicros()) {
            // The records are being read; sent away now, the agent would be a second or more
            // without its leader.
            loop.schedule(LOADING_POLL_MICROS, () -> decide(heartbeat, direct));
            return;
        }
        if (!isLeader || !isReady) {
            heartbeat.answer().accept(HeartbeatResponses.wrongNode());
            return;
        }
        if (confirmations.mustSuspendLeases()) {
            heartbeat
                    .answer()
                    .accept(Response.unavailable("cut off from the state service for too long"));
            return;
        }
        Heartbeat content = readOrRefuse(heartbeat);
        if (content == null) {
            return;
        }
        String redirectTarget = redirectTarget(content, direct);
        if (redirectTarget != null) {
            heartbeat.answer().accept(HeartbeatResponses.redirect(redirectTarget));
            return;
        }
        leaderActions.onHeartbeat(content, callback(heartbeat.answer()));
    }

    private static PendingAnswers.Callback callback(Consumer<Response> answer) {
        return new PendingAnswers.Callback() {
            @Override
            public void onAnswer(SchedulerAction.AnswerHeartbeat decision) {
                answer.accept(HeartbeatResponses.decided(decision));
            }

            @Override
            public void onRejected() {
                answer.accept(Response.unavailable("not taken here"));
            }
        };
    }

    /** The node to which an agent is to move from this one, or null if it may stay. */
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
