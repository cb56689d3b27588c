package org.woadloom.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.LinkedHashSet;
import java.util.function.BooleanSupplier;
import org.woadloom.net.EventLoop;
import org.woadloom.net.SocketBudget;
import org.xnio.IoUtils;

/**
 * Keeps the connections of agents and users within the socket budget. Users poll every few seconds
 * and then go away, often without closing, while the leader needs a socket for every agent: users'
 * connections that have been idle for longer than anybody polls are closed, and where sockets are
 * short those that have been idle for longest, and those of agents with the answers to their
 * heartbeats. A request on a connection beyond the budget is refused at once and its connection
 * closed, so that nobody is left waiting in the backlog.
 */
public final class ConnectionLimiter {
    /** Three polls of a user who is still interested. */
    private static final long MAX_IDLE_MICROS = 15_000_000;

    /** A connection that is idle for less has most likely a request on its way. */
    private static final long MIN_IDLE_MICROS = 1_000_000;

    private static final long SWEEP_INTERVAL_MICROS = 500_000;
    private static final AttachmentKey<TrackedConnection> TRACKED =
            AttachmentKey.create(TrackedConnection.class);

    private final EventLoop loop;
    private final SocketBudget budget;

    /** Users' connections without a request, the longest idle first. */
    private final LinkedHashSet<TrackedConnection> idleUsers = new LinkedHashSet<>();

    private int agents;
    private int users;
    private long closed;
    private long refused;
    private long closedAgents;

    private static final class TrackedConnection {
        final ServerConnection connection;
        boolean ofAgent;
        long idleSinceMicros;

        TrackedConnection(ServerConnection connection) {
            this.connection = connection;
        }
    }

    public ConnectionLimiter(EventLoop loop, SocketBudget budget) {
        this.loop = loop;
        this.budget = budget;
    }

    /** Starts to close idle connections at regular intervals. */
    public void start() {
        loop.schedule(
                SWEEP_INTERVAL_MICROS,
                () -> {
                    sweep();
                    start();
                });
    }

    /** How many connections are open whose last request was an agent's. */
    public int agentConnections() {
        return agents;
    }

    /** How many other connections are open. */
    public int userConnections() {
        return users;
    }

    /** Idle connections of users that were closed, since the process began. */
    public long closedIdleConnections() {
        return closed;
    }

    /** Requests that were refused for want of sockets, since the process began. */
    public long refusedRequests() {
        return refused;
    }

    /**
     * Connections of agents that were closed with their answer for want of sockets, since the
     * process began.
     */
    public long closedAgentConnections() {
        return closedAgents;
    }

    private int total() {
        return agents + users;
    }

    /**
     * Counts the connection of a request that has arrived.
     *
     * @return false if the budget has no socket for it: the request is to be refused, and the
     *     connection closed
     */
    boolean onRequest(HttpServerExchange exchange, boolean ofAgent) {
        TrackedConnection tracked = exchange.getConnection().getAttachment(TRACKED);
        if (tracked == null) {
            tracked = new TrackedConnection(exchange.getConnection());
            tracked.ofAgent = ofAgent;
            tracked.connection.putAttachment(TRACKED, tracked);
            TrackedConnection opened = tracked;
            tracked.connection.addCloseListener(closed -> onClosed(opened));
            count(ofAgent, 1);
        } else if (tracked.ofAgent != ofAgent) {
            count(tracked.ofAgent, -1);
            tracked.ofAgent = ofAgent;
            count(ofAgent, 1);
        }
        idleUsers.remove(tracked);
        if (total() > budget.inboundHighWatermark()) {
            closeLongestIdle();
        }
        boolean accepted = total() <= budget.inbound();
        if (!accepted) {
            refused++;
        }
        return accepted;
    }

    /**
     * Whether the connection of a request that is about to be answered is to be closed after that.
     *
     * @param needsNothing whether the answer gives its agent nothing to do; asked only for an
     *     agent's request while sockets are short
     */
    boolean shouldCloseAfter(HttpServerExchange exchange, BooleanSupplier needsNothing) {
        TrackedConnection tracked = exchange.getConnection().getAttachment(TRACKED);
        if (tracked == null || total() <= budget.inboundHighWatermark()) {
            return false;
        }
        if (!tracked.ofAgent) {
            return true;
        }
        boolean closes = budget.closesAgentConnection(total(), needsNothing.getAsBoolean());
        if (closes) {
            closedAgents++;
        }
        return closes;
    }

    /** The request was answered. */
    void onAnswered(HttpServerExchange exchange) {
        TrackedConnection tracked = exchange.getConnection().getAttachment(TRACKED);
        if (tracked != null && !tracked.ofAgent && tracked.connection.isOpen()) {
            tracked.idleSinceMicros = loop.nowMicros();
            idleUsers.remove(tracked);
            idleUsers.add(tracked);
        }
    }

    private void count(boolean ofAgent, int change) {
        if (ofAgent) {
            agents += change;
        } else {
            users += change;
        }
    }

    private void onClosed(TrackedConnection tracked) {
        idleUsers.remove(tracked);
        count(tracked.ofAgent, -1);
    }

    private void closeLongestIdle() {
        long idleBeforeMicros = loop.nowMicros() - MIN_IDLE_MICROS;
        while (total() > budget.inboundHighWatermark() && !idleUsers.isEmpty()) {
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
        closeLongestIdle();
    }

    private void close(TrackedConnection tracked) {
        idleUsers.remove(tracked);
        closed++;
        IoUtils.safeClose(tracked.connection);
    }
}
