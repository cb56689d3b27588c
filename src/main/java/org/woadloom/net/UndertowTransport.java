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
 * Requests through Undertow's client, on the node's I/O thread, with a small pool of idle
 * connections per host.
 */
public final class UndertowTransport implements HttpTransport {
    private static final int MAX_IDLE = 8;
    private static final long IDLE_MICROS = 20_000_000;

    /** How many idle connections are looked at for their age after each request. */
    private static final int SWEEP = 2;

    private static final HttpString CBOR_LENGTH = Headers.CONTENT_LENGTH;

    private final EventLoop loop;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final HttpClientProvider provider = new HttpClientProvider();
    private final int mostIdle;

    /** Takes what is read before it is appended to its response; all is done on one thread. */
    private final ByteBuffer buffer = ByteBuffer.allocate(4096);

    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();

    /**
     * All of them, the longest idle first: workers come by the hundred, and sockets are limited.
     */
    private final LinkedHashSet<Idle> byAge = new LinkedHashSet<>();

    private int underWay;

    private static final class Idle {
        final String address;
        final ClientConnection connection;
        final long sinceMicros;

        Idle(String address, ClientConnection connection, long sinceMicros) {
            this.address = address;
            this.connection = connection;
            this.sinceMicros = sinceMicros;
        }
    }

    public UndertowTransport(
            EventLoop loop, XnioIoThread thread, ByteBufferPool buffers, int mostIdle) {
        this.loop = loop;
        this.mostIdle = mostIdle;
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
        underWay++;
        call.timer = loop.schedule(timeoutMicros, call::timedOut);
        ClientConnection connection = takeIdle(address);
        if (connection != null) {
            call.send(connection);
            return;
        }
        provider.connect(
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection opened) {
                        if (call.finished) {
                            IoUtils.safeClose(opened);
                        } else {
                            call.send(opened);
                        }
                    }

                    @Override
                    public void failed(IOException e) {
                        call.finish(NOT_SENT, new byte[0]);
                    }
                },
                URI.create("http://" + address),
                thread,
                null,
                buffers,
                OptionMap.EMPTY);
    }

    /** Connections for requests that are under way, and those that are kept. */
    public int open() {
        return underWay + byAge.size();
    }

    public int idle() {
        return byAge.size();
    }

    private ClientConnection takeIdle(String address) {
        ArrayDeque<Idle> queue = idle.get(address);
        while (queue != null && !queue.isEmpty()) {
            Idle candidate = queue.pollLast();
            byAge.remove(candidate);
            if (candidate.connection.isOpen()
                    && loop.nowMicros() - candidate.sinceMicros < IDLE_MICROS) {
                return candidate.connection;
            }
            IoUtils.safeClose(candidate.connection);
        }
        return null;
    }

    private void giveBack(String address, ClientConnection connection) {
        ArrayDeque<Idle> queue = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (!connection.isOpen() || queue.size() >= MAX_IDLE) {
            IoUtils.safeClose(connection);
            return;
        }
        Idle mine = new Idle(address, connection, loop.nowMicros());
        queue.addLast(mine);
        byAge.add(mine);
        for (int i = 0; i < SWEEP && !byAge.isEmpty(); i++) {
            Idle oldest = byAge.iterator().next();
            if (byAge.size() <= mostIdle && loop.nowMicros() - oldest.sinceMicros < IDLE_MICROS) {
                break;
            }
            drop(oldest);
        }
    }

    private void drop(Idle candidate) {
        byAge.remove(candidate);
        ArrayDeque<Idle> queue = idle.get(candidate.address);
        queue.remove(candidate);
        if (queue.isEmpty()) {
            idle.remove(candidate.address);
        }
        IoUtils.safeClose(candidate.connection);
    }

    private final class Call {
        private final String address;
        private final String method;
        private final String path;
        private final byte[] body;
        private final Callback callback;
        private EventLoop.Timer timer;
        private ClientConnection connection;
        private boolean finished;

        Call(String address, String method, String path, byte[] body, Callback callback) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.body = body;
            this.callback = callback;
        }

        void timedOut() {
            if (!finished) {
                boolean sent = connection != null;
                if (sent) {
                    IoUtils.safeClose(connection);
                }
                finish(sent ? NO_RESPONSE : NOT_SENT, new byte[0]);
            }
        }

        void finish(int status, byte[] response) {
            if (!finished) {
                finished = true;
                underWay--;
                timer.cancel();
                callback.answered(status, response);
            }
        }

        void broken() {
            IoUtils.safeClose(connection);
            finish(NO_RESPONSE, new byte[0]);
        }

        void send(ClientConnection opened) {
            connection = opened;
            ClientRequest request =
                    new ClientRequest().setPath(path).setMethod(HttpString.tryFromString(method));
            request.getRequestHeaders().put(Headers.HOST, address);
            if (body != null) {
                request.getRequestHeaders().put(CBOR_LENGTH, Integer.toString(body.length));
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
            }
            connection.sendRequest(
                    request,
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange exchange) {
                            started(exchange);
                        }

                        @Override
                        public void failed(IOException e) {
                            broken();
                        }
                    });
        }

        private void started(ClientExchange exchange) {
            exchange.setResponseListener(
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange answered) {
                            read(answered);
                        }

                        @Override
                        public void failed(IOException e) {
                            broken();
                        }
                    });
            if (body == null) {
                return;
            }
            try {
                StreamSinkChannel channel = exchange.getRequestChannel();
                ByteBuffer buffer = ByteBuffer.wrap(body);
                channel.getWriteSetter().set(ready -> write(ready, buffer));
                write(channel, buffer);
            } catch (RuntimeException e) {
                broken();
            }
        }

        private void write(StreamSinkChannel channel, ByteBuffer buffer) {
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
                            .set(
                                    ChannelListeners.flushingChannelListener(
                                            null, (c, e) -> broken()));
                    channel.resumeWrites();
                }
            } catch (IOException e) {
                broken();
            }
        }

        private void read(ClientExchange exchange) {
            int status = exchange.getResponse().getResponseCode();
            boolean closes =
                    "close"
                            .equalsIgnoreCase(
                                    exchange.getResponse()
                                            .getResponseHeaders()
                                            .getFirst(Headers.CONNECTION));
            StreamSourceChannel channel = exchange.getResponseChannel();
            ByteArrayOutputStream received = new ByteArrayOutputStream(512);
            channel.getReadSetter().set(ready -> drain(ready, received, status, closes));
            drain(channel, received, status, closes);
        }

        private void drain(
                StreamSourceChannel channel,
                ByteArrayOutputStream received,
                int status,
                boolean closes) {
            try {
                while (true) {
                    buffer.clear();
                    int count = channel.read(buffer);
                    if (count == 0) {
                        channel.resumeReads();
                        return;
                    }
                    if (count < 0) {
                        break;
                    }
                    received.write(buffer.array(), 0, count);
                }
            } catch (IOException e) {
                broken();
                return;
            }
            if (finished || closes) {
                IoUtils.safeClose(connection);
            } else {
                giveBack(address, connection);
            }
            finish(status, received.toByteArray());
        }
    }
}
