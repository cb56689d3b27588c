package org.woadloom.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.woadloom.net.Addresses;
import org.woadloom.net.SocketBudget;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The HTTP listener for users, agents and health checks. */
public final class ApiServer {
    /** The largest body that is accepted, in bytes. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * The largest body that is read, in bytes: up to here the sender is told that it is too large.
     */
    private static final int MAX_READ_BYTES = MAX_BODY_BYTES * 4;

    private static final int MIN_IDLE_TIMEOUT_MILLIS = 20_000;

    /**
     * After a stop about 4,000 agents connect within one heartbeat interval; the operating system
     * may cap it.
     */
    private static final int BACKLOG = 4_096;

    private static final String COMMANDS_FIELD = "orders";

    private static final Response UNREADABLE_BODY =
            Response.error(HttpStatus.BAD_REQUEST, "the body could not be read");
    private static final Response BODY_TOO_LARGE =
            Response.error(HttpStatus.BAD_REQUEST, "the body is larger than 64 KiB");
    private static final Response TOO_MANY_CONNECTIONS =
            Response.unavailable("too many connections");

    private final Undertow undertow;
    private final ConnectionLimiter connections;
    private final Router router;

    public ApiServer(
            ServiceSettings settings,
            XnioWorker xnioWorker,
            ByteBufferPool buffers,
            SocketBudget budget,
            ConnectionLimiter connections,
            Router router) {
        this.connections = connections;
        this.router = router;
        InetSocketAddress bind = Addresses.parse(settings.bind());
        int maxConnections = budget.inbound() + budget.refusedConnections();
        undertow =
                Undertow.builder()
                        .setWorker(xnioWorker)
                        .setByteBufferPool(buffers)
                        .addHttpListener(bind.getPort(), bind.getAddress().getHostAddress())
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_READ_BYTES)
                        .setServerOption(
                                UndertowOptions.NO_REQUEST_TIMEOUT, idleTimeoutMillis(settings))
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setSocketOption(Options.BACKLOG, BACKLOG)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
                        .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections)
                        .setHandler(this::receive)
                        .build();
    }

    /** An agent that is silent for longer has lost its lease and connects anew. */
    private static int idleTimeoutMillis(ServiceSettings settings) {
        long longestUsefulMicros =
                settings.agents().leaseMicros() + settings.agents().heartbeatMicros();
        return (int) Math.max(MIN_IDLE_TIMEOUT_MILLIS, longestUsefulMicros / 1000);
    }

    /** Starts to accept connections. */
    public void start() {
        undertow.start();
    }

    private void receive(HttpServerExchange exchange) {
        boolean accepted =
                connections.onRequest(
                        exchange, exchange.getRequestPath().equals(Router.HEARTBEATS));
        exchange.addExchangeCompleteListener(
                (answered, next) -> {
                    connections.onAnswered(answered);
                    next.proceed();
                });
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) ->
                                received.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> handle(received, body, accepted)),
                        (failed, e) -> {
                            failed.setPersistent(false);
                            failed.dispatch(
                                    SameThreadExecutor.INSTANCE,
                                    () -> send(failed, UNREADABLE_BODY));
                        });
    }

    private void handle(HttpServerExchange exchange, byte[] body, boolean accepted) {
        if (!accepted) {
            exchange.setPersistent(false);
            send(exchange, TOO_MANY_CONNECTIONS);
            return;
        }
        if (body.length > MAX_BODY_BYTES) {
            send(exchange, BODY_TOO_LARGE);
            return;
        }
        router.handle(
                exchange.getRequestMethod().toString(),
                exchange.getRequestPath(),
                body,
                response -> send(exchange, response));
    }

    /**
     * Whether the answer to a heartbeat gives its agent nothing to do: a renewed lease without
     * commands, or a redirection to another node. Then the agent has no use for this connection
     * until its next heartbeat.
     */
    private static boolean needsNothing(Response response) {
        if (response.status() != HttpStatus.OK) {
            return response.status() == HttpStatus.MISDIRECTED_REQUEST;
        }
        try {
            Fields answer = new Fields(Cbor.decodeMap(response.body()));
            return answer.list(COMMANDS_FIELD).isEmpty();
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    private void send(HttpServerExchange exchange, Response response) {
        if (exchange.isComplete() || exchange.isResponseStarted()) {
            return;
        }
        if (connections.shouldCloseAfter(exchange, () -> needsNothing(response))) {
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, response.contentType());
        if (response.retryAfterSeconds() > 0) {
            exchange.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, Integer.toString(response.retryAfterSeconds()));
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }
}
