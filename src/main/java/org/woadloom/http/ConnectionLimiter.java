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
 * The connections on which workers or users have asked something. Users poll every few seconds and
 * then are gone, often without a word, while the leader needs a socket for every worker: users'
 * connections that have been idle for longer than anybody polls are closed, and where sockets are
 * short those that have been idle for longest, and those of workers with the answers to their
 * heartbeats. What is asked on a connection beyond the plan is answered at once and closed: nobody
 * is left waiting in the backlog.
 */
public final class ConnectionLimiter {
    /** Three polls of a user who still wants to know. */
    private static final long IDLE_MICROS = 15_000_000;

    /** A connection that is idle for less has most likely a request on its way. */
    private static final long MIN_IDLE_MICROS = 1_000_000;

    private static final long SWEEP_MICROS = 500_000;
    private static final AttachmentKey<Open> OPEN = AttachmentKey.create(Open.class);

    private final EventLoop loop;
    private final SocketBudget plan;

    /** Users' connections without a request, the longest idle first. */
    private final LinkedHashSet<Open> idleUsers = new LinkedHashSet<>();

    private int agents;
    private int users;
    private long closed;
    private long refused;
    private long closedWorkers;

    private static final class Open {
        final ServerConnection connection;
        boolean worker;
        long idleSinceMicros;

        Open(ServerConnection connection) {
            this.connection = connection;
        }
    }

    public ConnectionLimiter(EventLoop loop, SocketBudget plan) {
        this.loop = loop;
        this.plan = plan;
    }

    public void start() {
        loop.schedule(
                SWEEP_MICROS,
                () -> {
                    sweep();
                    start();
                });
    }

    /** Connections whose last request was a worker's. */
    public int agents() {
        return agents;
    }

    public int users() {
        return users;
    }

    /** Idle connections of users that were closed, since the process began. */
    public long closed() {
        return closed;
    }

    /** Requests that were refused for want of sockets, since the process began. */
    public long refused() {
        return refused;
    }

    /**
     * Connections of workers that were closed with their answer for want of sockets, since the
     * process began.
     */
    public long closedWorkers() {
        return closedWorkers;
    }

    private int total() {
        return agents + users;
    }

    /**
     * A request has come. Returns false if there is no room for its connection: it is to be told
     * so, and closed.
     */
    boolean onRequest(HttpServerExchange exchange, boolean ofWorker) {
        Open open = exchange.getConnection().getAttachment(OPEN);
        if (open == null) {
            open = new Open(exchange.getConnection());
            open.worker = ofWorker;
            open.connection.putAttachment(OPEN, open);
            Open mine = open;
            open.connection.addCloseListener(gone -> onClosed(mine));
            count(ofWorker, 1);
        } else if (open.worker != ofWorker) {
            count(open.worker, -1);
            open.worker = ofWorker;
            count(ofWorker, 1);
        }
        idleUsers.remove(open);
        if (total() > plan.comfortable()) {
            makeRoom();
        }
        boolean room = total() <= plan.inbound();
        refused += room ? 0 : 1;
        return room;
    }

    /**
     * The request is about to be answered; true if its connection is to be closed after that.
     *
     * @param needsNothing asked only of a worker's request while sockets are short: whether the
     *     answer brings it nothing to do
     */
    boolean shouldCloseAfter(HttpServerExchange exchange, BooleanSupplier needsNothing) {
        Open open = exchange.getConnection().getAttachment(OPEN);
        if (open == null || total() <= plan.comfortable()) {
            return false;
        }
        if (!open.worker) {
            return true;
        }
        boolean closes = plan.closesWorker(total(), needsNothing.getAsBoolean());
        closedWorkers += closes ? 1 : 0;
        return closes;
    }

    /** The request was answered. */
    void onAnswered(HttpServerExchange exchange) {
        Open open = exchange.getConnection().getAttachment(OPEN);
        if (open != null && !open.worker && open.connection.isOpen()) {
            open.idleSinceMicros = loop.nowMicros();
            idleUsers.remove(open);
            idleUsers.add(open);
        }
    }

    private void count(boolean ofWorker, int change) {
        if (ofWorker) {
            agents += change;
        } else {
            users += change;
        }
    }

    private void onClosed(Open open) {
        idleUsers.remove(open);
        count(open.worker, -1);
    }

    private void makeRoom() {
        long before = loop.nowMicros() - MIN_IDLE_MICROS;
        while (total() > plan.comfortable() && !idleUsers.isEmpty()) {
            Open longest = idleUsers.iterator().next();
            if (longest.idleSinceMicros > before) {
                return;
            }
            close(longest);
        }
    }

    private void sweep() {
        long before = loop.nowMicros() - IDLE_MICROS;
        while (!idleUsers.isEmpty() && idleUsers.iterator().next().idleSinceMicros < before) {
            close(idleUsers.iterator().next());
        }
        makeRoom();
    }

    private void close(Open open) {
        idleUsers.remove(open);
        closed++;
        IoUtils.safeClose(open.connection);
    }
}
