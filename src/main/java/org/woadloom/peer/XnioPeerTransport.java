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
 * Peer transport over XNIO. Each node opens a connection to every other node for sending, and
 * receives on the connections that the others have opened.
 */
public final class XnioPeerTransport implements PeerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(XnioPeerTransport.class);
    private static final long RECONNECT_MICROS = 150_000;
    private static final long CONNECT_TIMEOUT_MICROS = 2_000_000;

    /**
     * Maximum number of inbound connections, including closing ones. Their number does not depend
     * on the fleet size.
     */
    private static final int MAX_INBOUND = 16;

    private final EventLoop loop;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ServiceSettings settings;
    private final PeerCodec codec = new PeerCodec();
    private final Map<String, OutboundConnection> outboundByLabel = new HashMap<>();
    private Listener listener;
    private int inboundCount;

    public XnioPeerTransport(EventLoop loop, XnioWorker worker, ServiceSettings settings) {
        this.loop = loop;
        this.worker = worker;
        this.thread = worker.getIoThread();
        this.settings = settings;
    }

    /** Binds the peer port. A node that cannot bind it does not start. */
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
    public void start(Listener peerListener) {
        listener = peerListener;
        for (Peer peer : settings.peers()) {
            OutboundConnection out = new OutboundConnection(peer);
            outboundByLabel.put(peer.label(), out);
            out.connect();
        }
    }

    @Override
    public void send(String label, PeerMessage message) {
        OutboundConnection out = outboundByLabel.get(label);
        if (out != null) {
            out.send(message);
        }
    }

    @Override
    public boolean acceptsMessages(String label) {
        OutboundConnection out = outboundByLabel.get(label);
        return out == null || out.connection == null || !out.queue.isFull();
    }

    /**
     * Returns how many messages were dropped because the send queue of their peer was full, since
     * the process started.
     */
    public long droppedMessageCount() {
        return outboundByLabel.values().stream().mapToLong(out -> out.queue.refusedCount()).sum();
    }

    /** Returns the number of open connections with other nodes, in both directions. */
    public int openConnectionCount() {
        int count = inboundCount;
        for (OutboundConnection out : outboundByLabel.values()) {
            count += out.connection == null ? 0 : 1;
        }
        return count;
    }

    private void accept(AcceptingChannel<StreamConnection> server) {
        try {
            StreamConnection connection;
            while ((connection = server.accept()) != null) {
                if (inboundCount >= MAX_INBOUND) {
                    IoUtils.safeClose(connection);
                    continue;
                }
                inboundCount++;
                new InboundConnection(connection).start();
            }
        } catch (IOException e) {
            LOG.error("event=peer_port_failed error=\"{}\"", e.getMessage());
        }
    }

    /** A connection opened by another node. */
    private final class InboundConnection {
        private final StreamConnection connection;
        private final FrameReader frames = new FrameReader();
        private final ByteBuffer buffer = ByteBuffer.allocate(4096);
        private String senderLabel;

        InboundConnection(StreamConnection connection) {
            this.connection = connection;
        }

        void start() {
            connection.setCloseListener(closed -> inboundCount--);
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
                    throw new PeerFormatException(
                            String.format("Hello from unknown node \"%.40s\"", hello.label()));
                }
                senderLabel = hello.label();
            } else if (senderLabel == null) {
                throw new PeerFormatException(
                        message.getClass().getSimpleName()
                                + " received, expected Hello as the first message");
            } else {
                listener.onMessage(senderLabel, message);
            }
        }
    }

    /** The connection to one peer, reopened whenever it is lost. */
    private final class OutboundConnection {
        private final Peer peer;
        private final SendQueue queue = new SendQueue();
        private StreamConnection connection;
        private int currentAttempt;

        OutboundConnection(Peer peer) {
            this.peer = peer;
        }

        void connect() {
            int attempt = ++currentAttempt;
            IoFuture<StreamConnection> future =
                    thread.openStreamConnection(
                            Addresses.parse(peer.address()),
                            (ChannelListener<StreamConnection>) opened -> onOpened(opened, attempt),
                            OptionMap.create(Options.TCP_NODELAY, true));
            future.addNotifier(
                    (done, nothing) -> {
                        if (done.getStatus() == IoFuture.Status.FAILED) {
                            boolean refused = done.getException() instanceof ConnectException;
                            loop.execute(() -> onLost(attempt, refused));
                        }
                    },
                    null);
            loop.schedule(
                    CONNECT_TIMEOUT_MICROS,
                    () -> {
                        if (currentAttempt == attempt && connection == null) {
                            future.cancel();
                            onLost(attempt, false);
                        }
                    });
        }

        private void onOpened(StreamConnection opened, int attempt) {
            if (currentAttempt != attempt) {
                IoUtils.safeClose(opened);
                return;
            }
            connection = opened;
            opened.getSinkChannel().setWriteListener(this::write);
            // The peer sends nothing on this connection, so it only becomes readable when the peer
            // closes it.
            opened.getSourceChannel().setReadListener(channel -> detectClose(channel, attempt));
            opened.getSourceChannel().resumeReads();
            queue.clear();
            send(new PeerMessage.Hello(settings.label()));
            listener.onConnected(peer.label());
        }

        private void detectClose(ConduitStreamSourceChannel channel, int attempt) {
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
            onLost(attempt, false);
        }

        private void onLost(int attempt, boolean refused) {
            if (currentAttempt != attempt) {
                return;
            }
            currentAttempt++;
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
            int attempt = currentAttempt;
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
                onLost(attempt, false);
            }
        }
    }
}
