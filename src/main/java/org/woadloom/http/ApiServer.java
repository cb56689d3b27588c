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

/** The Undertow listener for users, workers and health checks. */
public final class ApiServer {
    private static final int MAX_BODY = 64 * 1024;
    private static final int TOO_LARGE_READ = MAX_BODY * 4;
    private static final int LEAST_IDLE_MILLIS = 20_000;

    /**
     * After a stop about 4,000 workers connect within one interval; the operating system may cap
     * it.
     */
    private static final int BACKLOG = 4_096;

    private final Undertow undertow;
    private final ConnectionLimiter connections;
    private final Router router;

    public ApiServer(
            ServiceSettings settings,
            XnioWorker agent,
            ByteBufferPool buffers,
            SocketBudget plan,
            ConnectionLimiter connections,
            Router router) {
        this.connections = connections;
        this.router = router;
        InetSocketAddress bind = Addresses.parse(settings.bind());
        // A worker that is silent for longer has lost its lease and begins anew.
        int idleMillis =
                (int)
                        Math.max(
                                LEAST_IDLE_MILLIS,
                                (settings.agents().leaseMicros()
                                                + settings.agents().heartbeatMicros())
                                        / 1000);
        int most = plan.inbound() + plan.refusals();
        undertow =
                Undertow.builder()
                        .setWorker(agent)
                        .setByteBufferPool(buffers)
                        .addHttpListener(bind.getPort(), bind.getAddress().getHostAddress())
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) TOO_LARGE_READ)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setSocketOption(Options.BACKLOG, BACKLOG)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setSocketOption(Options.CONNECTION_HIGH_WATER, most)
                        .setSocketOption(Options.CONNECTION_LOW_WATER, most)
                        .setHandler(this::receive)
                        .build();
    }

    public void start() {
        undertow.start();
    }

    private void receive(HttpServerExchange exchange) {
        boolean room =
                connections.onRequest(exchange, exchange.getRequestPath().equals(Router.REPORT));
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    connections.onAnswered(done);
                    next.proceed();
                });
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (done, body) ->
                                done.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> handle(done, body, room)),
                        (failed, e) -> {
                            failed.setPersistent(false);
                            failed.dispatch(
                                    SameThreadExecutor.INSTANCE,
                                    () ->
                                            send(
                                                    failed,
                                                    Response.error(
                                                            400, "the body could not be read")));
                        });
    }

    private void handle(HttpServerExchange exchange, byte[] body, boolean room) {
        if (!room) {
            exchange.setPersistent(false);
            send(exchange, Response.unavailable("too many connections"));
            return;
        }
        if (body.length > MAX_BODY) {
            send(exchange, Response.error(400, "the body is larger than 64 KiB"));
            return;
        }
        router.handle(
                exchange.getRequestMethod().toString(),
                exchange.getRequestPath(),
                body,
                response -> send(exchange, response));
    }

    /**
     * A renewed lease without commands, or the name of another node: the worker has no further use
     * for this connection.
     */
    private static boolean needsNothing(Response response) {
        if (response.status() != 200) {
            return response.status() == 421;
        }
        try {
            return new Fields(Cbor.decodeMap(response.body())).list("orders").isEmpty();
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
        if (response.retryAfterS() > 0) {
            exchange.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, Integer.toString(response.retryAfterS()));
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }
}
