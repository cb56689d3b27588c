package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.Undertow;
import io.undertow.util.SameThreadExecutor;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.node.Server;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettingsFile;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.WireException;

/** One node over real sockets on the loopback address, with the stand-in of the state service behind HTTP. */
class LoopbackTest {
    private final StateStandIn state = new StateStandIn(new SimLoop(),
            new ServiceSettings.State(1_000, 1_000, 16_384, 16, null));
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private Undertow outside;
    private String node;

    @AfterEach
    void stop() {
        outside.stop();
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private void start() throws Exception {
        int port = freePort();
        outside = Undertow.builder().setIoThreads(1).setWorkerThreads(1).addHttpListener(port, "127.0.0.1")
                .setHandler(exchange -> exchange.getRequestReceiver().receiveFullBytes((done, body) -> done.dispatch(
                        SameThreadExecutor.INSTANCE, () -> answer(done, body)))).build();
        outside.start();
        node = "127.0.0.1:" + freePort();
        String text = Files.readString(Path.of("src/build/rehearsal.toml"))
                .replace("bind = \"127.0.0.1:18931\"", "bind = \"" + node + "\"")
                .replace("peer_bind = \"127.0.0.1:18932\"", "peer_bind = \"127.0.0.1:" + freePort() + "\"")
                .replace("= \"127.0.0.1:18931\"", "= \"127.0.0.1:" + port + "\"");
        Server.start(ServiceSettingsFile.parse("test", text), OperatorSettings.defaults());
    }

    private void answer(io.undertow.server.HttpServerExchange exchange, byte[] body) {
        String query = exchange.getQueryString();
        String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
        if (path.equals("/machine_types")) {
            Map<String, Object> type = new LinkedHashMap<>();
            type.put("name", "m");
            type.put("vcpus", 4.0);
            type.put("ramGb", 8.0);
            type.put("rate", 1.0);
            type.put("yards", List.of("a"));
            reply(exchange, 200, Map.of("hosttypes", List.of(type)));
        } else if (path.startsWith("/machines")) {
            reply(exchange, 503, Map.of("error", "trouble"));
        } else {
            try {
                state.handle(exchange.getRequestMethod().toString(), path,
                        body.length == 0 ? Map.of() : Cbor.decodeMap(body),
                        (status, map) -> reply(exchange, status, map));
            } catch (WireException e) {
                reply(exchange, 400, Map.of());
            }
        }
    }

    private static void reply(io.undertow.server.HttpServerExchange exchange, int status, Map<String, Object> map) {
        exchange.setStatusCode(status);
        exchange.getResponseSender().send(ByteBuffer.wrap(Cbor.encode(map)));
    }

    private HttpResponse<byte[]> ask(String method, String path, byte[] body) throws Exception {
        return client.send(HttpRequest.newBuilder(URI.create("http://" + node + path)).method(method,
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(body))
                .build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    private static byte[] job(String crew) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", "j-000412");
        map.put("jobclass", "class");
        map.put("crew", crew);
        map.put("shape", "batch");
        map.put("rank", "high");
        map.put("shards", 3L);
        map.put("vcpus", 1.0);
        map.put("ramGb", 1.0);
        map.put("bundle", "img");
        return Cbor.encode(map);
    }

    @Test
    void aNodeAnswersItsUsers() throws Exception {
        start();
        assertEquals(200, ask("GET", "/healthz", null).statusCode());
        HttpResponse<byte[]> accepted = ask("POST", "/v1/jobs", job("team"));
        // The machine types may take the node a moment; until then it says when to come back.
        for (int i = 0; accepted.statusCode() == 503 && i < 5_000; i++) {
            assertEquals("1", accepted.headers().firstValue("Retry-After").orElse(""));
            accepted = ask("POST", "/v1/jobs", job("team"));
        }
        assertEquals(201, accepted.statusCode());
        assertEquals(200, ask("POST", "/v1/jobs", job("team")).statusCode());
        assertEquals(200, ask("POST", "/v1/jobs", job("nobody")).statusCode(), "a known job stays accepted");
        assertEquals(400, ask("POST", "/v1/jobs", new byte[] {1, 2, 3}).statusCode());
        assertEquals(400, ask("POST", "/v1/jobs", new byte[70_000]).statusCode());
        assertEquals("queued", Cbor.decodeMap(ask("GET", "/v1/jobs/j-000412", null).body()).get("status"));
        assertEquals(404, ask("GET", "/v1/jobs/j-000413", null).statusCode());
        HttpResponse<byte[]> cancelled = ask("POST", "/v1/jobs/j-000412/cancel", new byte[0]);
        assertEquals("cancelled", Cbor.decodeMap(cancelled.body()).get("status"));
        assertEquals("cancelled", Cbor.decodeMap(ask("GET", "/v1/jobs/j-000412", null).body()).get("status"));
        assertEquals(200, ask("GET", "/metrics", null).statusCode());
    }
}
