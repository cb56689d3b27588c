package org.woadloom.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The Undertow listener for users, workers and health checks. */
public final class ApiServer {
    private static final int MAX_BODY = 64 * 1024;
    private static final int TOO_LARGE_READ = MAX_BODY * 4;
    private static final int IDLE_MILLIS = 120_000;

    private final Undertow undertow;

    public ApiServer(InetSocketAddress bind, XnioWorker worker, ByteBufferPool buffers, int maxConnections,
            Router router) {
        undertow = Undertow.builder().setWorker(worker).setByteBufferPool(buffers)
                .addHttpListener(bind.getPort(), bind.getAddress().getHostAddress())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) TOO_LARGE_READ)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setSocketOption(Options.BACKLOG, 256)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
                .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections)
                .setHandler(exchange -> receive(exchange, router))
                .build();
    }

    public void start() {
        undertow.start();
    }

    private static void receive(HttpServerExchange exchange, Router router) {
        exchange.getRequestReceiver().receiveFullBytes((done, body) -> done.dispatch(SameThreadExecutor.INSTANCE,
                () -> handle(done, body, router)), (failed, e) -> {
                    failed.setPersistent(false);
                    failed.dispatch(SameThreadExecutor.INSTANCE, () -> send(failed,
                            Response.error(400, "the body could not be read")));
                });
    }

    private static void handle(HttpServerExchange exchange, byte[] body, Router router) {
        if (body.length > MAX_BODY) {
            send(exchange, Response.error(400, "the body is larger than 64 KiB"));
            return;
        }
        router.handle(exchange.getRequestMethod().toString(), exchange.getRequestPath(), body,
                response -> send(exchange, response));
    }

    private static void send(HttpServerExchange exchange, Response response) {
        if (exchange.isComplete() || exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, response.contentType());
        if (response.retryAfterS() > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Integer.toString(response.retryAfterS()));
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }
}
