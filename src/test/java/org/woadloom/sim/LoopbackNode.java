package org.woadloom.sim;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.node.Server;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.ServiceSettingsFile;

/**
 * Runs one node over real sockets on the loopback address. One HTTP server simulates the store and
 * the cloud.
 */
final class LoopbackNode {
    final SimulatedStore store =
            new SimulatedStore(
                    new SimulatedEventLoop(),
                    new ServiceSettings.Store(1_000, 1_000, 16_384, 16, null));
    private Undertow dependencies;
    String address;

    /** Address of the HTTP server that simulates the store and the cloud. */
    String storeAddress;

    void stop() {
        dependencies.stop();
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    void start() throws Exception {
        int port = freePort();
        dependencies =
                Undertow.builder()
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .addHttpListener(port, "127.0.0.1")
                        .setHandler(
                                exchange ->
                                        exchange.getRequestReceiver()
                                                .receiveFullBytes(
                                                        (received, body) ->
                                                                received.dispatch(
                                                                        SameThreadExecutor.INSTANCE,
                                                                        () ->
                                                                                handleDependencyRequest(
                                                                                        received,
                                                                                        body))))
                        .build();
        dependencies.start();
        storeAddress = "127.0.0.1:" + port;
        address = "127.0.0.1:" + freePort();
        String text =
                Files.readString(Path.of("src/build/rehearsal.toml"))
                        .replace("bind = \"127.0.0.1:18931\"", "bind = \"" + address + "\"")
                        .replace(
                                "peer_bind = \"127.0.0.1:18932\"",
                                "peer_bind = \"127.0.0.1:" + freePort() + "\"")
                        .replace("= \"127.0.0.1:18931\"", "= \"127.0.0.1:" + port + "\"");
        Server.start(ServiceSettingsFile.parse("test", text), OperatorSettings.defaults());
    }

    private void handleDependencyRequest(HttpServerExchange exchange, byte[] body) {
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
                store.handle(
                        exchange.getRequestMethod().toString(),
                        path,
                        body.length == 0 ? Map.of() : Cbor.decodeMap(body),
                        (status, map) -> reply(exchange, status, map));
            } catch (MalformedMessageException e) {
                reply(exchange, 400, Map.of());
            }
        }
    }

    private static void reply(HttpServerExchange exchange, int status, Map<String, Object> map) {
        exchange.setStatusCode(status);
        exchange.getResponseSender().send(ByteBuffer.wrap(Cbor.encode(map)));
    }

    /** A valid job of three small tasks, with all required fields. */
    static Map<String, Object> job(String jobId, String team) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", jobId);
        map.put("jobclass", "class");
        map.put("crew", team);
        map.put("shape", "batch");
        map.put("rank", "high");
        map.put("shards", 3L);
        map.put("vcpus", 1.0);
        map.put("cards", 0.0);
        map.put("ramGb", 1.0);
        map.put("bundle", "img");
        map.put("pullGb", 1.0);
        map.put("samePlace", false);
        map.put("apart", false);
        map.put("reclaimable", true);
        map.put("runtimeS", 10.0);
        map.put("snapshotEveryS", 0.0);
        map.put("snapshotCostS", 0.0);
        return map;
    }
}
