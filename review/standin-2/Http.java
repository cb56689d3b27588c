import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP/1.1 on loopback for the stand-ins. */
final class Http {
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    /**
     * The loopback address of this run. Outgoing connections come from 127.0.0.1, so no other run and no
     * connection takes a port of it between the choice and the use.
     */
    static final String HOST =
            "127."
                    + ThreadLocalRandom.current().nextInt(1, 255)
                    + "."
                    + ThreadLocalRandom.current().nextInt(1, 255)
                    + "."
                    + ThreadLocalRandom.current().nextInt(1, 255);

    static final ExecutorService POOL =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .executor(POOL)
                    .connectTimeout(Duration.ofSeconds(4))
                    .build();

    private Http() {}

    record Answer(int status, Map<String, Object> body) {
        static Answer of(int status, Map<String, Object> body) {
            return new Answer(status, body);
        }
    }

    interface Handler {
        /** The answer; null resets the connection without one. */
        Answer handle(String method, String path, String query, byte[] body) throws Exception;
    }

    interface PortHandler {
        Answer handle(int fromPort, String path, byte[] body) throws Exception;
    }

    /** For a handler that asks from which port the request came. */
    static HttpServer serveWithPort(int port, PortHandler handler) throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName(HOST), port), 512);
        server.setExecutor(POOL);
        server.createContext(
                "/",
                exchange ->
                        answer(
                                exchange,
                                (method, path, query, body) ->
                                        handler.handle(
                                                exchange.getRemoteAddress().getPort(), path, body)));
        server.start();
        return server;
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName(HOST), port), 512);
        server.setExecutor(POOL);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    private static void answer(HttpExchange exchange, Handler handler) {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            URI uri = exchange.getRequestURI();
            Answer answer =
                    handler.handle(exchange.getRequestMethod(), uri.getPath(), uri.getQuery(), body);
            if (answer != null) {
                byte[] bytes = Cbor.encode(answer.body);
                exchange.getResponseHeaders().set("Content-Type", "application/cbor");
                exchange.sendResponseHeaders(answer.status, bytes.length);
                try (OutputStream out = exchange.getResponseBody()) {
                    out.write(bytes);
                }
            }
        } catch (Exception e) {
            // The caller has gone, or the handler failed: no answer.
        } finally {
            exchange.close();
        }
    }

    record Reply(int status, byte[] bytes) {
        Map<String, Object> body() {
            return Cbor.map(bytes);
        }
    }

    /** Status 0: no answer in time, or no connection. */
    static CompletableFuture<Reply> send(
            String address, String method, String path, Object body, double timeoutS) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
                        .header("Content-Type", "application/cbor")
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(Cbor.encode(body)));
        return CLIENT.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
                .handle(
                        (response, error) ->
                                error != null
                                        ? new Reply(0, new byte[0])
                                        : new Reply(response.statusCode(), response.body()));
    }

    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    /** A free port of this run's address. */
    static int freePort() throws IOException {
        for (int tries = 0; tries < 1000; tries++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            if (TAKEN.add(port)) {
                try (ServerSocket socket =
                        new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                    return socket.getLocalPort();
                } catch (BindException e) {
                    // Another program has it.
                }
            }
        }
        throw new IOException("no free port");
    }
}
