package org.woadloom.node;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.http.ApiServer;
import org.woadloom.http.ConnectionLimiter;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.SocketBudget;
import org.woadloom.net.UndertowTransport;
import org.woadloom.net.XnioEventLoop;
import org.woadloom.peer.XnioPeerTransport;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** A node with its sockets, all served by one XNIO worker with a single I/O thread. */
public final class Server {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final long SOCKET_LOG_INTERVAL_MICROS = 30_000_000;

    private Server() {}

    /** Starts a node on the addresses in its settings; it runs until the process ends. */
    public static Node start(ServiceSettings settings, OperatorSettings operator)
            throws IOException {
        XnioWorker worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, "woadloom")
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        XnioIoThread thread = worker.getIoThread();
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 256, 4);
        XnioEventLoop loop = new XnioEventLoop(thread);
        SocketBudget socketBudget = SocketBudget.of(settings);
        UndertowTransport transport =
                new UndertowTransport(loop, thread, buffers, socketBudget.idleConnections());
        // Not seeded by the clock alone: if the clock stood still or was set back, a process could
        // get the same process id as its predecessor and take itself for that process.
        Random random = new Random(new SecureRandom().nextLong());
        XnioPeerTransport peers = new XnioPeerTransport(loop, worker, settings);
        Node node = new Node(loop, transport, peers, settings, operator, random);
        ConnectionLimiter connections = new ConnectionLimiter(loop, socketBudget);
        LoopMonitor loopMonitor = new LoopMonitor(loop, node.metrics());
        registerGauges(node.metrics(), socketBudget, connections, transport, peers);
        new ApiServer(settings, worker, buffers, socketBudget, connections, node.router()).start();
        peers.bind();
        loop.execute(
                () -> {
                    connections.start();
                    node.start();
                    loopMonitor.start();
                    logSockets(loop, socketBudget, connections, transport, peers);
                });
        return node;
    }

    private static void logSockets(
            XnioEventLoop loop,
            SocketBudget socketBudget,
            ConnectionLimiter connections,
            UndertowTransport transport,
            XnioPeerTransport peers) {
        loop.schedule(
                SOCKET_LOG_INTERVAL_MICROS,
                () -> {
                    LOG.info(
                            "event=sockets workers={} users={} max={} outbound={} outbound_idle={}"
                                    + " peers={} idle_users_closed={} requests_refused={}"
                                    + " requests_unfinished={} unfinished_closed={}",
                            connections.agentConnections(),
                            connections.userConnections(),
                            socketBudget.inbound(),
                            transport.openConnectionCount(),
                            transport.idleConnectionCount(),
                            peers.openConnectionCount(),
                            connections.closedIdleConnections(),
                            connections.refusedRequests(),
                            connections.pendingTransfers(),
                            connections.closedTransfers());
                    logSockets(loop, socketBudget, connections, transport, peers);
                });
    }

    private static void registerGauges(
            NodeMetrics metrics,
            SocketBudget socketBudget,
            ConnectionLimiter connections,
            UndertowTransport transport,
            XnioPeerTransport peers) {
        metrics.gauge("woadloom.sockets.workers", connections, ConnectionLimiter::agentConnections);
        metrics.gauge("woadloom.sockets.users", connections, ConnectionLimiter::userConnections);
        metrics.gauge("woadloom.sockets.inbound.most", socketBudget, SocketBudget::inbound);
        metrics.gauge(
                "woadloom.sockets.outbound", transport, UndertowTransport::openConnectionCount);
        metrics.gauge(
                "woadloom.sockets.outbound.idle",
                transport,
                UndertowTransport::idleConnectionCount);
        metrics.gauge("woadloom.sockets.peers", peers, XnioPeerTransport::openConnectionCount);
        metrics.gauge("woadloom.peers.dropped", peers, XnioPeerTransport::droppedMessageCount);
        metrics.gauge(
                "woadloom.sockets.closed", connections, ConnectionLimiter::closedIdleConnections);
        metrics.gauge(
                "woadloom.sockets.closed_workers",
                connections,
                ConnectionLimiter::closedAgentConnections);
        metrics.gauge("woadloom.sockets.pending", connections, ConnectionLimiter::pendingTransfers);
        metrics.gauge(
                "woadloom.sockets.pending_bytes", connections, ConnectionLimiter::pendingBodyBytes);
        metrics.gauge(
                "woadloom.sockets.closed_pending", connections, ConnectionLimiter::closedTransfers);
        metrics.gauge("woadloom.sockets.refused", connections, ConnectionLimiter::refusedRequests);
    }
}
