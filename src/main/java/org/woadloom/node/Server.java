package org.woadloom.node;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.http.ApiServer;
import org.woadloom.http.Connections;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.SocketPlan;
import org.woadloom.net.UndertowTransport;
import org.woadloom.net.XnioLoop;
import org.woadloom.peer.XnioPeerNet;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** A node with its sockets: one XNIO worker with one I/O thread carries everything. */
public final class Server {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final long TELL_MICROS = 30_000_000;

    private Server() {
    }

    public static Node start(ServiceSettings settings, OperatorSettings operator) throws IOException {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.builder()
                .set(Options.WORKER_NAME, "woadloom")
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .getMap());
        XnioIoThread thread = worker.getIoThread();
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 256, 4);
        XnioLoop loop = new XnioLoop(thread);
        SocketPlan plan = SocketPlan.of(settings);
        UndertowTransport transport = new UndertowTransport(loop, thread, buffers, plan.idle());
        // Not by clocks alone: one that stood still, or was set back, would make a process take itself for the one before.
        Random random = new Random(new SecureRandom().nextLong());
        XnioPeerNet peers = new XnioPeerNet(loop, worker, settings);
        Node node = new Node(loop, transport, peers, settings, operator, random);
        Connections connections = new Connections(loop, plan);
        meter(node.metrics(), plan, connections, transport, peers);
        new ApiServer(settings, worker, buffers, plan, connections, node.router()).start();
        peers.bind();
        loop.execute(() -> {
            connections.start();
            node.start();
            tell(loop, plan, connections, transport, peers);
        });
        return node;
    }

    private static void tell(XnioLoop loop, SocketPlan plan, Connections connections, UndertowTransport transport,
            XnioPeerNet peers) {
        loop.schedule(TELL_MICROS, () -> {
            LOG.info("event=sockets workers={} users={} max={} outbound={} outbound_idle={} peers={} idle_users_closed={}"
                    + " requests_refused={}", connections.workers(), connections.users(), plan.inbound(),
                    transport.open(), transport.idle(), peers.open(), connections.closed(), connections.refused());
            tell(loop, plan, connections, transport, peers);
        });
    }

    private static void meter(NodeMetrics metrics, SocketPlan plan, Connections connections, UndertowTransport transport,
            XnioPeerNet peers) {
        metrics.gauge("woadloom.sockets.workers", connections, Connections::workers);
        metrics.gauge("woadloom.sockets.users", connections, Connections::users);
        metrics.gauge("woadloom.sockets.inbound.most", plan, SocketPlan::inbound);
        metrics.gauge("woadloom.sockets.outbound", transport, UndertowTransport::open);
        metrics.gauge("woadloom.sockets.outbound.idle", transport, UndertowTransport::idle);
        metrics.gauge("woadloom.sockets.peers", peers, XnioPeerNet::open);
        metrics.gauge("woadloom.peers.dropped", peers, XnioPeerNet::refused);
        metrics.gauge("woadloom.sockets.closed", connections, Connections::closed);
        metrics.gauge("woadloom.sockets.closed_workers", connections, Connections::closedWorkers);
        metrics.gauge("woadloom.sockets.refused", connections, Connections::refused);
    }
}
