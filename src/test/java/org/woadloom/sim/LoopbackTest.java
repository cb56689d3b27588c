package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.woadloom.core.rollout.Feature;
import org.woadloom.protocol.Cbor;
import org.woadloom.store.NodeAnnouncement;

/** One node over real sockets on the loopback address, with a simulated store behind HTTP. */
class LoopbackTest {
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private LoopbackNode node;

    @AfterEach
    void stop() {
        node.stop();
    }

    private void start() throws Exception {
        node = new LoopbackNode();
        node.start();
    }

    private HttpResponse<byte[]> send(String method, String path, byte[] body) throws Exception {
        return send(node.address, method, path, body);
    }

    private HttpResponse<byte[]> send(String address, String method, String path, byte[] body)
            throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(body))
                        .build(),
                HttpResponse.BodyHandlers.ofByteArray());
    }

    private static byte[] job(String team) {
        return Cbor.encode(LoopbackNode.job("j-000412", team));
    }

    private int submit(String jobId, String shape, Object awaits) throws Exception {
        Map<String, Object> map = LoopbackNode.job(jobId, "team");
        map.put("shape", shape);
        map.put("shards", 1L);
        map.put("awaits", awaits);
        return send("POST", "/v1/jobs", Cbor.encode(map)).statusCode();
    }

    private String status(String jobId) throws Exception {
        return (String) Cbor.decodeMap(send("GET", "/v1/jobs/" + jobId, null).body()).get("status");
    }

    @Test
    void dependenciesAreAcceptedOnceEveryNodeSupportsThem() throws Exception {
        start();
        int accepted = 503;
        for (int i = 0; accepted == 503 && i < 5_000; i++) {
            accepted = submit("j-1", "batch", List.of());
        }
        assertEquals(201, accepted);
        assertEquals(201, submit("j-2", "service", null));
        // The other node in the settings has not announced itself yet.
        assertEquals(503, submit("j-3", "batch", List.of("j-1")));
        NodeAnnouncement announcement =
                new NodeAnnouncement(
                        7,
                        Feature.allKeys(),
                        Feature.allKeys(),
                        Set.of("other", "rehearsal"),
                        1,
                        0);
        assertEquals(
                200,
                send(
                                node.storeAddress,
                                "POST",
                                "/txn",
                                Cbor.encode(
                                        Map.of(
                                                "if",
                                                List.of(),
                                                "then",
                                                List.of(
                                                        Map.of(
                                                                "put",
                                                                "rollout/node/other",
                                                                "value",
                                                                announcement.toMap())))))
                        .statusCode());
        int chained = 503;
        for (int i = 0; chained == 503 && i < 2_000; i++) {
            chained = submit("j-3", "batch", List.of("j-1", "j-1"));
        }
        assertEquals(201, chained);
        assertEquals(
                List.of("j-1"),
                Cbor.decodeMap(send("GET", "/v1/jobs/j-3", null).body()).get("awaits"));
        assertEquals(400, submit("j-4", "batch", "j-1"));
        assertEquals(400, submit("j-4", "batch", List.of(1L)));
        assertEquals(422, submit("j-4", "batch", List.of("j-9")), "never accepted");
        assertEquals(422, submit("j-4", "batch", List.of("j-1", "no id")));
        assertEquals(422, submit("j-4", "batch", List.of("j-4")), "depends on itself");
        assertEquals(422, submit("j-4", "batch", List.of("j-2")), "depends on a service");
        assertEquals(404, send("GET", "/v1/jobs/j-4", null).statusCode());
        assertEquals(200, submit("j-3", "batch", List.of("j-9")), "a known job stays accepted");
        assertEquals(201, submit("j-5", "batch", List.of("j-3")));
        assertEquals(200, send("POST", "/v1/jobs/j-1/cancel", new byte[0]).statusCode());
        for (int i = 0; !status("j-5").equals("cancelled") && i < 2_000; i++) {
            assertEquals("queued", status("j-5"));
        }
        assertEquals("cancelled", status("j-3"));
        assertEquals("cancelled", status("j-5"));
        assertEquals(
                201,
                submit("j-6", "batch", List.of("j-5")),
                "a dependency on a cancelled job is accepted");
        for (int i = 0; !status("j-6").equals("cancelled") && i < 2_000; i++) {
            assertEquals("queued", status("j-6"));
        }
        assertEquals("cancelled", status("j-6"));
    }

    @Test
    void jobApiAnswersSubmitStatusAndCancel() throws Exception {
        start();
        assertEquals(200, send("GET", "/healthz", null).statusCode());
        HttpResponse<byte[]> accepted = send("POST", "/v1/jobs", job("team"));
        // The node may take a moment to load the machine types; until then it answers 503 with
        // Retry-After.
        for (int i = 0; accepted.statusCode() == 503 && i < 5_000; i++) {
            assertEquals("1", accepted.headers().firstValue("Retry-After").orElse(""));
            accepted = send("POST", "/v1/jobs", job("team"));
        }
        assertEquals(201, accepted.statusCode());
        assertEquals(200, send("POST", "/v1/jobs", job("team")).statusCode());
        assertEquals(
                200,
                send("POST", "/v1/jobs", job("nobody")).statusCode(),
                "a known job stays accepted");
        assertEquals(400, send("POST", "/v1/jobs", new byte[] {1, 2, 3}).statusCode());
        assertEquals(400, send("POST", "/v1/jobs", new byte[70_000]).statusCode());
        assertEquals(
                "queued",
                Cbor.decodeMap(send("GET", "/v1/jobs/j-000412", null).body()).get("status"));
        assertEquals(404, send("GET", "/v1/jobs/j-000413", null).statusCode());
        HttpResponse<byte[]> cancelled = send("POST", "/v1/jobs/j-000412/cancel", new byte[0]);
        assertEquals("cancelled", Cbor.decodeMap(cancelled.body()).get("status"));
        assertEquals(
                "cancelled",
                Cbor.decodeMap(send("GET", "/v1/jobs/j-000412", null).body()).get("status"));
        assertEquals(200, send("GET", "/metrics", null).statusCode());
    }
}
