package org.woadloom.http;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.woadloom.net.Addresses;
import org.woadloom.net.SocketBudget;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.KnownFields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;

/** The HTTP listener for users, agents and health checks. */
public final class ApiServer {
    private static final int MIN_IDLE_TIMEOUT_MILLIS = 20_000;
    private static final int HEAD_TIMEOUT_MILLIS = PendingTransfers.TIMEOUT_MICROS / 1000;
    private static final int MAX_HEAD_BYTES = 8 * 1024;

    /**
     * After an outage about 4,000 agents connect within one heartbeat interval. The operating
     * system may use a smaller backlog.
     */
    private static final int BACKLOG = 4_096;

    private static final String COMMANDS_FIELD = "orders";

    private static final KnownFields COMMANDS = KnownFields.of(COMMANDS_FIELD);

    private static final Response UNREADABLE_BODY =
            Response.error(HttpStatus.BAD_REQUEST, "the request body could not be read");
    private static final Response TOO_MANY_CONNECTIONS =
            Response.unavailable("too many connections to this node");

    private static final Response TOO_MANY_UNFINISHED_REQUESTS =
            Response.unavailable("too many unfinished requests to this node");

    private final XnioWorker xnioWorker;
    private final InetSocketAddress bind;
    private final OptionMap socketOptions;
    private final HttpOpenListener httpListener;
    private final ConnectionLimiter connections;
    private final Router router;

    public ApiServer(
            ServiceSettings settings,
            XnioWorker xnioWorker,
            ByteBufferPool buffers,
            SocketBudget budget,
            ConnectionLimiter connections,
            Router router) {
        this.xnioWorker = xnioWorker;
        this.connections = connections;
        this.router = router;
        bind = Addresses.parse(settings.bind());
        socketOptions = socketOptions(budget.inbound() + budget.refusedConnections());
        httpListener = new HttpOpenListener(buffers, httpOptions(settings));
        httpListener.setRootHandler(this::receive);
    }

    private static OptionMap socketOptions(int maxConnections) {
        return OptionMap.builder()
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.TCP_NODELAY, true)
                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                .getMap();
    }

    private static OptionMap httpOptions(ServiceSettings settings) {
        return OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) RequestSizeLimit.MAX_READ_BYTES)
                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, idleTimeoutMillis(settings))
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .getMap();
    }

    /**
     * An agent that sends nothing for longer than this has lost its lease and reconnects anyway.
     */
    private static int idleTimeoutMillis(ServiceSettings settings) {
        long maxSilenceMicros =
                settings.agents().leaseMicros() + settings.agents().heartbeatMicros();
        return (int) Math.max(MIN_IDLE_TIMEOUT_MILLIS, maxSilenceMicros / 1000);
    }

    /** Starts accepting connections. */
    public void start() throws IOException {
        xnioWorker
                .createStreamConnectionServer(
                        bind, ChannelListeners.openListenerAdapter(this::open), socketOptions)
                .resumeAccepts();
    }

    private void open(StreamConnection connection) {
        connections.onOpened(connection);
        httpListener.handleEvent(connection);
    }

    private void receive(HttpServerExchange exchange) {
        exchange.addExchangeCompleteListener(
                (answered, next) -> {
                    connections.onAnswered(answered);
                    next.proceed();
                });
        if (!connections.onRequestBegun(exchange, bytesToRead(exchange))) {
            exchange.setPersistent(false);
            send(exchange, TOO_MANY_UNFINISHED_REQUESTS);
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) ->
                                received.dispatch(
                                        SameThreadExecutor.INSTANCE, () -> handle(received, body)),
                        (failed, e) -> {
                            connections.onRequestFailed(failed);
                            failed.setPersistent(false);
                            failed.dispatch(
                                    SameThreadExecutor.INSTANCE,
                                    () -> send(failed, UNREADABLE_BODY));
                        });
    }

    /** The size of the body; the largest possible one if the request does not tell. */
    private static long bytesToRead(HttpServerExchange exchange) {
        if (exchange.isRequestComplete()) {
            return 0;
        }
        long length = exchange.getRequestContentLength();
        return length >= 0
                ? Math.min(length, RequestSizeLimit.MAX_READ_BYTES)
                : RequestSizeLimit.MAX_READ_BYTES;
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        boolean isAgent = exchange.getRequestPath().equals(Router.HEARTBEAT_PATH);
        if (!connections.onRequest(exchange, isAgent)) {
            exchange.setPersistent(false);
            send(exchange, TOO_MANY_CONNECTIONS);
            return;
        }
        router.handle(
                exchange.getRequestMethod().toString(),
                exchange.getRequestPath(),
                body,
                response -> send(exchange, response));
    }

    /**
     * True if the agent will not use this connection before its next heartbeat: the response only
     * renews the agent's lease, without commands, or sends the agent to another node.
     */
    private static boolean leavesAgentIdle(Response response) {
        if (response.status() != HttpStatus.OK) {
            return response.status() == HttpStatus.MISDIRECTED_REQUEST;
        }
        try {
            Fields answer = new Fields(Cbor.decodeMap(response.body(), COMMANDS));
            return answer.list(COMMANDS_FIELD).isEmpty();
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    private void send(HttpServerExchange exchange, Response response) {
        if (exchange.isComplete() || exchange.isResponseStarted()) {
            return;
        }
        if (connections.shouldCloseAfter(exchange, () -> leavesAgentIdle(response))) {
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, response.contentType());
        if (response.retryAfterSeconds() > 0) {
            exchange.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, Integer.toString(response.retryAfterSeconds()));
        }
        connections.onAnswerBegun(exchange);
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }
}
