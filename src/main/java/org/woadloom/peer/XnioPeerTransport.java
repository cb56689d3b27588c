package org.woadloom.peer;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.net.Addresses;
import org.woadloom.net.EventLoop;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Peer connections over XNIO: each node opens one to every other for what it sends, and reads from
 * those that the others opened.
 */
public final class XnioPeerTransport implements PeerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(XnioPeerTransport.class);
    private static final long RECONNECT_MICROS = 150_000;
    private static final long CONNECT_TIMEOUT_MICROS = 2_000_000;

    /** Inbound connections, closing ones among them: their number doesn't grow with the fleet. */
    private static final int MAX_INBOUND = 16;

    private final EventLoop loop;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ServiceSettings settings;
    private final PeerCodec codec = new PeerCodec();
    private final Map<String, Outbound> outbound = new HashMap<>();
    private Listener listener;
    private int inbound;

    public XnioPeerTransport(EventLoop loop, XnioWorker worker, ServiceSettings settings) {
        this.loop = loop;
        this.worker = worker;
        this.thread = worker.getIoThread();
        this.settings = settings;
    }

    /** Binds the peer port; a node that can't do that does not start. */
    public void bind() throws IOException {
        AcceptingChannel<StreamConnection> server =
                worker.createStreamConnectionServer(
                        Addresses.parse(settings.peerBind()),
                        this::accept,
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, 64)
                                .getMap());
        server.resumeAccepts();
    }

    @Override
    public void start(Listener messageListener) {
        listener = messageListener;
        for (Peer peer : settings.peers()) {
            Outbound out = new Outbound(peer);
            outbound.put(peer.label(), out);
            out.connect();
        }
    }

    @Override
    public void send(String label, PeerMessage message) {
        Outbound out = outbound.get(label);
        if (out != null) {
            out.send(message);
        }
    }

    @Override
    public boolean acceptsMessages(String label) {
        Outbound out = outbound.get(label);
        return out == null || out.connection == null || !out.queue.isFull();
    }

    /**
     * Messages that were dropped because the queue to their peer was full, since the process
     * started.
     */
    public long droppedMessageCount() {
        return outbound.values().stream().mapToLong(out -> out.queue.refused()).sum();
    }

    /** Connections with other nodes, in both directions. */
    public int openConnectionCount() {
        int open = inbound;
        for (Outbound out : outbound.values()) {
            open += out.connection == null ? 0 : 1;
        }
        return open;
    }

    private void accept(AcceptingChannel<StreamConnection> server) {
        try {
            StreamConnection connection;
            while ((connection = server.accept()) != null) {
                if (inbound >= MAX_INBOUND) {
                    IoUtils.safeClose(connection);
                    continue;
                }
                inbound++;
                new Inbound(connection).start();
            }
        } catch (IOException e) {
            LOG.error("event=peer_port_failed error=\"{}\"", e.getMessage());
        }
    }

    /** A connection that another node opened. */
    private final class Inbound {
        private final StreamConnection connection;
        private final FrameReader frames = new FrameReader();
        private final ByteBuffer buffer = ByteBuffer.allocate(4096);
        private String from;

        Inbound(StreamConnection connection) {
            this.connection = connection;
        }

        void start() {
            connection.setCloseListener(closed -> inbound--);
            connection.getSourceChannel().setReadListener(this::read);
            connection.getSourceChannel().resumeReads();
        }

        private void read(ConduitStreamSourceChannel channel) {
            try {
                while (true) {
                    buffer.clear();
                    int count = channel.read(buffer);
                    if (count == 0) {
                        return;
                    }
                    if (count < 0) {
                        IoUtils.safeClose(connection);
                        return;
                    }
                    for (byte[] frame : frames.add(buffer.array(), count)) {
                        onMessage(codec.decode(frame));
                    }
                }
            } catch (IOException | PeerFormatException e) {
                LOG.debug("event=peer_connection_closed error=\"{}\"", e.getMessage());
                IoUtils.safeClose(connection);
            }
        }

        private void onMessage(PeerMessage message) throws PeerFormatException {
            if (message instanceof PeerMessage.Hello hello) {
                if (settings.peer(hello.label()) == null) {
                    throw new PeerFormatException("unknown peer " + hello.label());
                }
                from = hello.label();
            } else if (from == null) {
                throw new PeerFormatException("a message before the greeting");
            } else {
                listener.onMessage(from, message);
            }
        }
    }

    /** The connection to one peer, made again whenever it ends. */
    private final class Outbound {
        private final Peer peer;
        private final SendQueue queue = new SendQueue();
        private StreamConnection connection;
        private int attempt;

        Outbound(Peer peer) {
            this.peer = peer;
        }

        void connect() {
            int mine = ++attempt;
            IoFuture<StreamConnection> future =
                    thread.openStreamConnection(
                            Addresses.parse(peer.address()),
                            (ChannelListener<StreamConnection>) opened -> opened(opened, mine),
                            OptionMap.create(Options.TCP_NODELAY, true));
            future.addNotifier(
                    (done, nothing) -> {
                        if (done.getStatus() == IoFuture.Status.FAILED) {
                            boolean refused = done.getException() instanceof ConnectException;
                            loop.execute(() -> failed(mine, refused));
                        }
                    },
                    null);
            loop.schedule(
                    CONNECT_TIMEOUT_MICROS,
                    () -> {
                        if (attempt == mine && connection == null) {
                            future.cancel();
                            failed(mine, false);
                        }
                    });
        }

        private void opened(StreamConnection opened, int mine) {
            if (attempt != mine) {
                IoUtils.safeClose(opened);
                return;
            }
            connection = opened;
            opened.getSinkChannel().setWriteListener(this::write);
            // Nothing is sent back on this connection: what can be read is its end.
            opened.getSourceChannel().setReadListener(channel -> readEnd(channel, mine));
            opened.getSourceChannel().resumeReads();
            queue.clear();
            send(new PeerMessage.Hello(settings.label()));
            listener.onConnected(peer.label());
        }

        private void readEnd(ConduitStreamSourceChannel channel, int mine) {
            try {
                ByteBuffer buffer = ByteBuffer.allocate(64);
                int count = channel.read(buffer);
                if (count >= 0) {
                    return;
                }
            } catch (IOException e) {
                LOG.debug(
                        "event=peer_connection_closed node={} error=\"{}\"",
                        peer.label(),
                        e.getMessage());
            }
            failed(mine, false);
        }

        private void failed(int mine, boolean refused) {
            if (attempt != mine) {
                return;
            }
            attempt++;
            if (connection != null) {
                IoUtils.safeClose(connection);
                connection = null;
            }
            queue.clear();
            listener.onConnectionLost(peer.label(), refused);
            loop.schedule(RECONNECT_MICROS, this::connect);
        }

        void send(PeerMessage message) {
            if (connection != null && queue.add(codec.encode(message))) {
                write(connection.getSinkChannel());
            }
        }

        private void write(ConduitStreamSinkChannel channel) {
            int mine = attempt;
            try {
                while (!queue.isEmpty()) {
                    ByteBuffer first = queue.first();
                    channel.write(first);
                    if (first.hasRemaining()) {
                        channel.resumeWrites();
                        return;
                    }
                    queue.removeFirst();
                }
                if (!channel.flush()) {
                    channel.resumeWrites();
                    return;
                }
                channel.suspendWrites();
            } catch (IOException e) {
                LOG.debug(
                        "event=peer_connection_closed node={} error=\"{}\"",
                        peer.label(),
                        e.getMessage());
                failed(mine, false);
            }
        }
    }
}
