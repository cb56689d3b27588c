package org.woadloom.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * HTTP transport on Undertow's client. It runs on the node's I/O thread and keeps a small pool of
 * idle connections per host.
 */
public final class UndertowTransport implements HttpTransport {
    private static final int MAX_IDLE_PER_HOST = 8;
    private static final long MAX_IDLE_MICROS = 20_000_000;

    /** Maximum number of idle connections that are checked for their age after each request. */
    private static final int MAX_EVICTIONS_PER_REQUEST = 2;

    private static final String CBOR = "application/cbor";
    private static final byte[] NO_BODY = {};
    private static final int READ_BUFFER_BYTES = 4096;
    private static final int RESPONSE_BYTES = 512;

    private final EventLoop loop;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final HttpClientProvider provider = new HttpClientProvider();
    private final int maxIdleConnections;

    /**
     * Receives response bytes before they are appended to their response. Shared by all requests,
     * which run on one thread.
     */
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);

    private final Map<String, ArrayDeque<IdleConnection>> idleByAddress = new HashMap<>();

    /**
     * All idle connections, longest idle first. Their total is limited because a node calls
     * hundreds of agents while its sockets are limited.
     */
    private final LinkedHashSet<IdleConnection> idleByAge = new LinkedHashSet<>();

    private int inFlight;

    private static final class IdleConnection {
        final String address;
        final ClientConnection connection;
        final long idleSinceMicros;

        IdleConnection(String address, ClientConnection connection, long sinceMicros) {
            this.address = address;
            this.connection = connection;
            this.idleSinceMicros = sinceMicros;
        }
    }

    /**
     * @param maxIdleConnections maximum number of idle connections, over all hosts
     */
    public UndertowTransport(
            EventLoop loop, XnioIoThread thread, ByteBufferPool buffers, int maxIdleConnections) {
        this.loop = loop;
        this.maxIdleConnections = maxIdleConnections;
        this.thread = thread;
        this.buffers = buffers;
    }

    @Override
    public void request(
            String address,
            String method,
            String path,
            byte[] body,
            long timeoutMicros,
            Callback callback) {
        Call call = new Call(address, method, path, body, callback);
        inFlight++;
        call.timer = loop.schedule(timeoutMicros, call::onTimeout);
        ClientConnection connection = takeIdle(address);
        if (connection != null) {
            call.send(connection);
            return;
        }
        provider.connect(
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection opened) {
                        if (call.isFinished) {
                            IoUtils.safeClose(opened);
                        } else {
                            call.send(opened);
                        }
                    }

                    @Override
                    public void failed(IOException e) {
                        call.finish(NOT_SENT, NO_BODY);
                    }
                },
                URI.create("http://" + address),
                thread,
                null,
                buffers,
                OptionMap.EMPTY);
    }

    /** Returns the number of open connections, in use or idle. */
    public int openConnectionCount() {
        return inFlight + idleByAge.size();
    }

    /** Returns the number of idle connections. */
    public int idleConnectionCount() {
        return idleByAge.size();
    }

    private ClientConnection takeIdle(String address) {
        ArrayDeque<IdleConnection> queue = idleByAddress.get(address);
        while (queue != null && !queue.isEmpty()) {
            IdleConnection candidate = queue.pollLast();
            idleByAge.remove(candidate);
            if (candidate.connection.isOpen()
                    && loop.nowMicros() - candidate.idleSinceMicros < MAX_IDLE_MICROS) {
                return candidate.connection;
            }
            IoUtils.safeClose(candidate.connection);
        }
        return null;
    }

    private void returnToPool(String address, ClientConnection connection) {
        ArrayDeque<IdleConnection> queue =
                idleByAddress.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (!connection.isOpen() || queue.size() >= MAX_IDLE_PER_HOST) {
            IoUtils.safeClose(connection);
            return;
        }
        IdleConnection returned = new IdleConnection(address, connection, loop.nowMicros());
        queue.addLast(returned);
        idleByAge.add(returned);
        for (int i = 0; i < MAX_EVICTIONS_PER_REQUEST && !idleByAge.isEmpty(); i++) {
            IdleConnection oldest = idleByAge.iterator().next();
            if (idleByAge.size() <= maxIdleConnections
                    && loop.nowMicros() - oldest.idleSinceMicros < MAX_IDLE_MICROS) {
                break;
            }
            evict(oldest);
        }
    }

    private void evict(IdleConnection candidate) {
        idleByAge.remove(candidate);
        ArrayDeque<IdleConnection> queue = idleByAddress.get(candidate.address);
        queue.remove(candidate);
        if (queue.isEmpty()) {
            idleByAddress.remove(candidate.address);
        }
        IoUtils.safeClose(candidate.connection);
    }

    /** A request in flight, until its callback is called. */
    private final class Call {
        private final String address;
        private final String method;
        private final String path;
        private final byte[] body;
        private final Callback callback;
        private EventLoop.Timer timer;
        private ClientConnection connection;
        private boolean isFinished;

        Call(String address, String method, String path, byte[] body, Callback callback) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.body = body;
            this.callback = callback;
        }

        void onTimeout() {
            if (!isFinished) {
                boolean isSent = connection != null;
                if (isSent) {
                    IoUtils.safeClose(connection);
                }
                finish(isSent ? NO_RESPONSE : NOT_SENT, NO_BODY);
            }
        }

        void finish(int status, byte[] response) {
            if (!isFinished) {
                isFinished = true;
                inFlight--;
                timer.cancel();
                callback.onResponse(status, response);
            }
        }

        void fail() {
            IoUtils.safeClose(connection);
            finish(NO_RESPONSE, NO_BODY);
        }

        void send(ClientConnection opened) {
            connection = opened;
            ClientRequest request =
                    new ClientRequest().setPath(path).setMethod(HttpString.tryFromString(method));
            request.getRequestHeaders().put(Headers.HOST, address);
            if (body != null) {
                request.getRequestHeaders()
                        .put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, CBOR);
            }
            connection.sendRequest(
                    request,
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange exchange) {
                            onSent(exchange);
                        }

                        @Override
                        public void failed(IOException e) {
                            fail();
                        }
                    });
        }

        private void onSent(ClientExchange exchange) {
            exchange.setResponseListener(
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange answered) {
                            onResponseHeaders(answered);
                        }

                        @Override
                        public void failed(IOException e) {
                            fail();
                        }
                    });
            if (body == null) {
                return;
            }
            try {
                StreamSinkChannel channel = exchange.getRequestChannel();
                ByteBuffer buffer = ByteBuffer.wrap(body);
                channel.getWriteSetter().set(ready -> writeBody(ready, buffer));
                writeBody(channel, buffer);
            } catch (RuntimeException e) {
                fail();
            }
        }

        private void writeBody(StreamSinkChannel channel, ByteBuffer buffer) {
            try {
                while (buffer.hasRemaining()) {
                    if (channel.write(buffer) == 0) {
                        channel.resumeWrites();
                        return;
                    }
                }
                channel.shutdownWrites();
                if (!channel.flush()) {
                    channel.getWriteSetter()
                            .set(ChannelListeners.flushingChannelListener(null, (c, e) -> fail()));
                    channel.resumeWrites();
                }
            } catch (IOException e) {
                fail();
            }
        }

        private void onResponseHeaders(ClientExchange exchange) {
            int status = exchange.getResponse().getResponseCode();
            boolean closesConnection =
                    "close"
                            .equalsIgnoreCase(
                                    exchange.getResponse()
                                            .getResponseHeaders()
                                            .getFirst(Headers.CONNECTION));
            StreamSourceChannel channel = exchange.getResponseChannel();
            ByteArrayOutputStream received = new ByteArrayOutputStream(RESPONSE_BYTES);
            channel.getReadSetter()
                    .set(ready -> readBody(ready, received, status, closesConnection));
            readBody(channel, received, status, closesConnection);
        }

        private void readBody(
                StreamSourceChannel channel,
                ByteArrayOutputStream received,
                int status,
                boolean closesConnection) {
            try {
                while (true) {
                    readBuffer.clear();
                    int count = channel.read(readBuffer);
                    if (count == 0) {
                        channel.resumeReads();
                        return;
                    }
                    if (count < 0) {
                        break;
                    }
                    received.write(readBuffer.array(), 0, count);
                }
            } catch (IOException e) {
                fail();
                return;
            }
            if (isFinished || closesConnection) {
                IoUtils.safeClose(connection);
            } else {
                returnToPool(address, connection);
            }
            finish(status, received.toByteArray());
        }
    }
}
