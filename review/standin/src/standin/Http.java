package standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import org.woadloom.protocol.Cbor;

/** HTTP/1.1 with CBOR bodies: a client with one connection a request, and a small server. */
public final class Http {
    private Http() {}

    private static final SecureRandom PORTS = new SecureRandom();

    /** No answer: connection refused, reset or timed out. */
    public static final int NONE = 0;

    public record Answer(int status, Map<String, Object> body, String failure) {
        public Object field(String name) {
            return body == null ? null : body.get(name);
        }

        @Override
        public String toString() {
            return status == NONE ? "no answer (" + failure + ")" : status + " " + body;
        }
    }

    /** Answers a request. Returning null leaves it unanswered and closes the connection. */
    public interface Handler {
        Answer handle(String method, String path, Map<String, String> query, Map<String, Object> body)
                throws Exception;
    }

    public static Answer answer(int status, Map<String, Object> body) {
        return new Answer(status, body, null);
    }

    public static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return map;
    }

    /** A free port below those that outgoing connections get. */
    public static int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = 12_000 + PORTS.nextInt(20_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // It is in use.
            }
        }
        throw new IOException("no free port");
    }

    public static Answer call(
            String address, String method, String path, Map<String, Object> body, int timeoutMillis) {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
        String host = address.substring(0, address.indexOf(':'));
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), timeoutMillis);
            byte[] content = body == null ? new byte[0] : Cbor.encode(body);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
                            + (body == null
                                    ? ""
                                    : "Content-Type: application/cbor\r\nContent-Length: "
                                            + content.length + "\r\n")
                            + "\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(content);
            socket.getOutputStream().write(request.toByteArray());
            return read(socket, deadline);
        } catch (IOException e) {
            return new Answer(NONE, null, String.valueOf(e.getMessage()));
        }
    }

    private static Answer read(Socket socket, long deadline) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String status = line(socket, in, deadline);
        int length = -1;
        for (String header = line(socket, in, deadline);
                !header.isEmpty();
                header = line(socket, in, deadline)) {
            String lower = header.toLowerCase();
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            }
        }
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        while (length < 0 || content.size() < length) {
            int b = next(socket, in, deadline);
            if (b < 0) {
                break;
            }
            content.write(b);
        }
        Map<String, Object> decoded = null;
        try {
            decoded = Cbor.decodeMap(content.toByteArray());
        } catch (Exception e) {
            // Such as the text of a health check.
        }
        return new Answer(Integer.parseInt(status.split(" ")[1]), decoded, null);
    }

    private static int next(Socket socket, InputStream in, long deadline) throws IOException {
        if (in.available() == 0) {
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new IOException("timed out");
            }
            socket.setSoTimeout((int) left);
        }
        return in.read();
    }

    private static String line(Socket socket, InputStream in, long deadline) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int b = next(socket, in, deadline);
            if (b < 0) {
                throw new EOFException("connection closed");
            }
            if (b == '\n') {
                return line.toString().trim();
            }
            line.append((char) b);
        }
    }

    public static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task);
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
        return server;
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        try {
            byte[] content = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new LinkedHashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    int at = part.indexOf('=');
                    query.put(part.substring(0, at), part.substring(at + 1));
                }
            }
            Answer answer =
                    handler.handle(
                            exchange.getRequestMethod(),
                            exchange.getRequestURI().getPath(),
                            query,
                            content.length == 0 ? Map.of() : Cbor.decodeMap(content));
            if (answer == null) {
                exchange.close();
                return;
            }
            byte[] body = Cbor.encode(answer.body == null ? Map.of() : answer.body);
            exchange.getResponseHeaders().set("Content-Type", "application/cbor");
            exchange.sendResponseHeaders(answer.status, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        } catch (Exception e) {
            exchange.close();
        }
    }
}
