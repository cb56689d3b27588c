package org.woadloom.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.LinkedHashSet;
import java.util.function.BooleanSupplier;
import org.woadloom.net.EventLoop;
import org.woadloom.net.SocketBudget;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Keeps the inbound connections of agents and users within the socket budget. Users poll every few
 * seconds and often leave without closing their connection, while the leader needs a socket for
 * every agent. So users' connections that have been idle for several polling intervals are closed.
 * When sockets run short, the longest idle users' connections are closed too, and agents'
 * connections are closed after the answer to a heartbeat. A request on a connection beyond the
 * budget is refused at once and its connection closed, so that no client is left waiting in the
 * backlog. A connection whose request does not arrive in whole counts as well, and is closed at a
 * deadline, or before all others when sockets run short.
 */
public final class ConnectionLimiter {
    /** Three polling intervals of a user. */
    private static final long MAX_IDLE_MICROS = 15_000_000;

    /** A connection that has been idle for less probably has a request on its way. */
    private static final long MIN_IDLE_MICROS = 1_000_000;

    private static final long SWEEP_INTERVAL_MICROS = 500_000;

    /** The share of the heap that the bodies of pending requests may use. */
    private static final double PENDING_BODIES_SHARE = 0.1;

    private static final AttachmentKey<TrackedConnection> TRACKED =
            AttachmentKey.create(TrackedConnection.class);

    private final EventLoop loop;
    private final SocketBudget budget;
    private final PendingTransfers transfers;

    /** Users' connections without a request in progress, the longest idle first. */
    private final LinkedHashSet<TrackedConnection> idleUsers = new LinkedHashSet<>();

    private int agentConnections;
    private int userConnections;
    private long closedIdleConnections;
    private long refusedRequests;
    private long closedAgentConnections;

    private static final class TrackedConnection {
        final ServerConnection connection;
        boolean isAgent;
        long idleSinceMicros;

        TrackedConnection(ServerConnection connection) {
            this.connection = connection;
        }
    }

    public ConnectionLimiter(EventLoop loop, SocketBudget budget) {
        this.loop = loop;
        this.budget = budget;
        transfers =
                new PendingTransfers(
                        loop, (long) (Runtime.getRuntime().maxMemory() * PENDING_BODIES_SHARE));
    }

    /** Starts closing idle connections periodically. */
    public void start() {
        loop.schedule(
                SWEEP_INTERVAL_MICROS,
                () -> {
                    sweep();
                    start();
                });
    }

    /** The number of open connections whose last request was a heartbeat. */
    public int agentConnections() {
        return agentConnections;
    }

    /** The number of all other open connections. */
    public int userConnections() {
        return userConnections;
    }

    /**
     * The number of users' connections closed because they were idle, since the process started.
     */
    public long closedIdleConnections() {
        return closedIdleConnections;
    }

    /**
     * The number of requests refused because the socket budget was used up, since the process
     * started.
     */
    public long refusedRequests() {
        return refusedRequests;
    }

    /**
     * The number of agents' connections closed after an answer because sockets were short, since
     * the process started.
     */
    public long closedAgentConnections() {
        return closedAgentConnections;
    }

    /** The number of requests that have not arrived in whole, or answers not sent in whole. */
    public int pendingTransfers() {
        return transfers.count();
    }

    /** The memory that is reserved for the bodies of requests that have not arrived in whole. */
    public long pendingBodyBytes() {
        return transfers.reservedBytes();
    }

    /**
     * The number of connections closed because a request did not arrive, or an answer was not
     * taken, in time, since the process started.
     */
    public long closedTransfers() {
        return transfers.closedConnections();
    }

    private int openConnections() {
        return agentConnections + userConnections + transfers.silentConnections();
    }

    void onOpened(StreamConnection connection) {
        transfers.onOpened(connection);
        closeSlowTransfersIfShort();
    }

    /**
     * Called when the head of a request has arrived.
     *
     * @param bodyBytes the size of the body, which is still to be read
     * @return false if the body must not be read, as too many others are being read
     */
    boolean onRequestBegun(HttpServerExchange exchange, long bodyBytes) {
        TrackedConnection tracked = exchange.getConnection().getAttachment(TRACKED);
        if (tracked != null) {
            idleUsers.remove(tracked);
        }
        return transfers.onRequestBegun(channelOf(exchange), bodyBytes);
    }

    /** Called when the rest of a request will not arrive. */
    void onRequestFailed(HttpServerExchange exchange) {
        transfers.onEnded(channelOf(exchange));
    }

    void onAnswerBegun(HttpServerExchange exchange) {
        transfers.onAnswerBegun(channelOf(exchange));
    }

    private static StreamConnection channelOf(HttpServerExchange exchange) {
        return ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    private void closeSlowTransfersIfShort() {
        if (budget.closesAgentConnection(openConnections(), false)) {
            transfers.closeSlow();
        }
    }

    /**
     * Tracks the connection of a request that has arrived in whole.
     *
     * @return false if the connection exceeds the budget: the caller must refuse the request and
     *     close the connection
     */
    boolean onRequest(HttpServerExchange exchange, boolean isAgent) {
        transfers.onEnded(channelOf(exchange));
        TrackedConnection tracked = exchange.getConnection().getAttachment(TRACKED);
        if (tracked == null) {
            tracked = new TrackedConnection(exchange.getConnection());
            tracked.isAgent = isAgent;
            tracked.connection.putAttachment(TRACKED, tracked);
            TrackedConnection opened = tracked;
            tracked.connection.addCloseListener(closed -> onClosed(opened));
            adjustCount(isAgent, 1);
        } else if (tracked.isAgent != isAgent) {
            adjustCount(tracked.isAgent, -1);
            tracked.isAgent = isAgent;
            adjustCount(isAgent, 1);
        }
        idleUsers.remove(tracked);
        if (openConnections() > budget.inboundHighWatermark()) {
            closeLongestIdle();
        }
        boolean accepted = openConnections() <= budget.inbound();
        if (!accepted) {
            refusedRequests++;
        }
        return accepted;
    }

    /**
     * Returns whether the connection must be closed once the request is answered.
     *
     * @param leavesAgentIdle whether the agent needs the connection again only for its next
     *     heartbeat; called only for heartbeats while sockets are short
     */
    boolean shouldCloseAfter(HttpServerExchange exchange, BooleanSupplier leavesAgentIdle) {
        TrackedConnection tracked = exchange.getConnection().getAttachment(TRACKED);
        if (tracked == null || openConnections() <= budget.inboundHighWatermark()) {
            return false;
        }
        if (!tracked.isAgent) {
            return true;
        }
        boolean closes =
                budget.closesAgentConnection(openConnections(), leavesAgentIdle.getAsBoolean());
        if (closes) {
            closedAgentConnections++;
        }
        return closes;
    }

    void onAnswered(HttpServerExchange exchange) {
        transfers.onEnded(channelOf(exchange));
        TrackedConnection tracked = exchange.getConnection().getAttachment(TRACKED);
        if (tracked != null && !tracked.isAgent && tracked.connection.isOpen()) {
            tracked.idleSinceMicros = loop.nowMicros();
            idleUsers.remove(tracked);
            idleUsers.add(tracked);
        }
    }

    private void adjustCount(boolean isAgent, int change) {
        if (isAgent) {
            agentConnections += change;
        } else {
            userConnections += change;
        }
    }

    private void onClosed(TrackedConnection tracked) {
        idleUsers.remove(tracked);
        adjustCount(tracked.isAgent, -1);
    }

    private void closeLongestIdle() {
        long idleBeforeMicros = loop.nowMicros() - MIN_IDLE_MICROS;
        while (openConnections() > budget.inboundHighWatermark() && !idleUsers.isEmpty()) {
            TrackedConnection longestIdle = idleUsers.iterator().next();
            if (longestIdle.idleSinceMicros > idleBeforeMicros) {
                return;
            }
            close(longestIdle);
        }
    }

    private void sweep() {
        long idleBeforeMicros = loop.nowMicros() - MAX_IDLE_MICROS;
        while (!idleUsers.isEmpty()
                && idleUsers.iterator().next().idleSinceMicros < idleBeforeMicros) {
            close(idleUsers.iterator().next());
        }
        transfers.closeOverdue();
        closeSlowTransfersIfShort();
        closeLongestIdle();
    }

    private void close(TrackedConnection tracked) {
        idleUsers.remove(tracked);
        closedIdleConnections++;
        IoUtils.safeClose(tracked.connection);
    }
}
