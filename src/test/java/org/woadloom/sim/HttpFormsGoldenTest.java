package org.woadloom.sim;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.woadloom.golden.CanonicalJson;
import org.woadloom.golden.GoldenFile;
import org.woadloom.golden.ValueShape;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Compares the responses of one node to users, agents and operators over real sockets, and the
 * names of its metrics, with golden files.
 */
class HttpFormsGoldenTest {
    private static final int MAX_ATTEMPTS = 5_000;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final LoopbackNode node = new LoopbackNode();
    private final GoldenFile golden = new GoldenFile();

    @AfterEach
    void stop() {
        node.stop();
    }

    private HttpResponse<byte[]> ask(String method, String path, byte[] body) throws Exception {
        HttpRequest.BodyPublisher publisher =
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofByteArray(body);
        return client.send(
                HttpRequest.newBuilder(URI.create("http://" + node.address + path))
                        .method(method, publisher)
                        .build(),
                HttpResponse.BodyHandlers.ofByteArray());
    }

    /**
     * Repeats the request until the node answers with the status: a node that has just started
     * takes a moment.
     */
    private HttpResponse<byte[]> askUntil(int status, String method, String path, byte[] body)
            throws Exception {
        HttpResponse<byte[]> answer = ask(method, path, body);
        for (int i = 0; answer.statusCode() != status && i < MAX_ATTEMPTS; i++) {
            answer = ask(method, path, body);
        }
        return answer;
    }

    private void record(String name, HttpResponse<byte[]> answer) throws MalformedMessageException {
        String type = answer.headers().firstValue("Content-Type").orElse("no type");
        String retry =
                answer.headers()
                        .firstValue("Retry-After")
                        .map(after -> ", again after " + after)
                        .orElse("");
        String body =
                type.equals("application/cbor")
                        ? CanonicalJson.of(Cbor.decodeMap(answer.body()))
                        : new String(answer.body(), StandardCharsets.UTF_8);
        golden.addText(name, answer.statusCode() + retry + ", " + type + ", " + body);
    }

    private static byte[] job(String jobId, String field, Object value) {
        Map<String, Object> job = LoopbackNode.job(jobId, "team");
        job.put(field, value);
        return Cbor.encode(job);
    }

    private static byte[] report() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("host", "host-000001");
        map.put("addr", "127.0.0.1:1");
        map.put("hosttype", "m");
        map.put("yard", "a");
        map.put("reclaimable", false);
        map.put("tenure", 1L);
        map.put("tick", 1L);
        map.put("epoch", 0L);
        map.put("shards", List.of());
        return Cbor.encode(map);
    }

    @Test
    void responsesAndMetricNamesMatchGoldenFiles() throws Exception {
        node.start();
        byte[] job = job("j-1", "shards", 1L);
        askUntil(404, "GET", "/v1/jobs/j-9", null);
        record("accepted", askUntil(201, "POST", "/v1/jobs", job));
        record("accepted again", ask("POST", "/v1/jobs", job));
        record("queued", ask("GET", "/v1/jobs/j-1", null));
        record("cancelled", ask("POST", "/v1/jobs/j-1/cancel", new byte[0]));
        record("status of a cancelled job", ask("GET", "/v1/jobs/j-1", null));
        record("no such job", ask("GET", "/v1/jobs/j-9", null));
        record("cancelled, no such job", ask("POST", "/v1/jobs/j-9/cancel", new byte[0]));
        record("no CBOR", ask("POST", "/v1/jobs", new byte[] {1, 2, 3}));
        record("field is missing", ask("POST", "/v1/jobs", job("j-2", "runtimeS", null)));
        record("field of another kind", ask("POST", "/v1/jobs", job("j-2", "shards", "many")));
        record("no id", ask("POST", "/v1/jobs", job("2", "shards", 1L)));
        record("no such team", ask("POST", "/v1/jobs", job("j-2", "crew", "nobody")));
        record("above the team's limit", ask("POST", "/v1/jobs", job("j-2", "vcpus", 500.0)));
        record("fits no machine", ask("POST", "/v1/jobs", job("j-2", "ramGb", 500.0)));
        record("waits for no id", ask("POST", "/v1/jobs", job("j-2", "awaits", List.of("no id"))));
        record(
                "waits before all nodes can",
                ask("POST", "/v1/jobs", job("j-2", "awaits", List.of("j-1"))));
        record("no such path", ask("GET", "/nothing", null));
        record("health", ask("GET", "/healthz", null));
        record("report is no CBOR", ask("POST", "/v1/report", new byte[] {1, 2, 3}));
        HttpResponse<byte[]> answered = askUntil(200, "POST", "/v1/report", report());
        golden.addValue(
                "report, keys of the answer",
                List.copyOf(new TreeSet<>(Cbor.decodeMap(answered.body()).keySet())));
        golden.addValue(
                "report, token", ValueShape.of(Cbor.decodeMap(answered.body()).get("epoch")));
        golden.check("http.txt");
        checkMetrics(ask("GET", "/metrics", null));
    }

    /** Checks metric names with their tag names; tag values depend on the requests. */
    private static void checkMetrics(HttpResponse<byte[]> answer) throws MalformedMessageException {
        TreeSet<String> names = new TreeSet<>();
        Cbor.decodeJsonMap(answer.body())
                .keySet()
                .forEach(name -> names.add(name.replaceAll("=\\S+", "=")));
        GoldenFile golden = new GoldenFile();
        names.forEach(name -> golden.addText(name, "number"));
        golden.check("metrics-of-a-node.txt");
    }
}
