package org.woadloom.node;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.Random;
import org.woadloom.http.ApiServer;
import org.woadloom.net.Addresses;
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
    private static final int BUFFER_BYTES = 8 * 1024;

    private Server() {
    }

    /** How many connections of workers and users are taken; the rest of the sockets is for what the node opens itself. */
    public static int mostInbound(ServiceSettings settings) {
        return settings.resources().fdLimit() * 7 / 10;
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
        UndertowTransport transport = new UndertowTransport(loop, thread, buffers,
                settings.resources().fdLimit() / 10);
        Random random = new Random(System.nanoTime() ^ settings.label().hashCode());
        XnioPeerNet peers = new XnioPeerNet(loop, worker, settings);
        Node node = new Node(loop, transport, peers, settings, operator, random);
        new ApiServer(Addresses.parse(settings.bind()), worker, buffers, mostInbound(settings), node.router()).start();
        peers.bind();
        loop.execute(node::start);
        return node;
    }
}
