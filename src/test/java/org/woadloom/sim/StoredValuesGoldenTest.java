package org.woadloom.sim;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.InflaterInputStream;
import org.junit.jupiter.api.Test;
import org.woadloom.golden.GoldenFile;
import org.woadloom.golden.ValueShape;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Compares the shapes of stored values other than job and machine records, as they occur in
 * simulations, with golden files.
 */
class StoredValuesGoldenTest {
    private static final int SLOTS = 8;
    private static final long DAY_MICROS = 120_000_000;

    private final Map<String, Object> shapes = new TreeMap<>();

    /**
     * Heartbeats and answers relayed between nodes in different zones through the store, in both
     * formats.
     */
    @Test
    void relayedMessagesMatchGoldenShapes() throws MalformedMessageException, IOException {
        collectRelayedMessages(new ClusterSimulation(1, Scenario.DEFAULT), "packed");
        collectRelayedMessages(new ClusterSimulation(1, Scenario.UPGRADE), "plain");
        check("letters.txt");
    }

    private void collectRelayedMessages(ClusterSimulation cluster, String format)
            throws MalformedMessageException, IOException {
        cluster.users.submitUntil(DAY_MICROS);
        cluster.loop.after(DAY_MICROS / 3, () -> cluster.partition("a", "b", DAY_MICROS));
        while (cluster.loop.step(DAY_MICROS)) {
            for (int node = 0; node < ClusterSimulation.NODES; node++) {
                for (int slot = 0; slot < SLOTS; slot++) {
                    addMessage(
                            format,
                            cluster.stored("mail/" + ClusterSimulation.label(node) + "/" + slot));
                }
            }
        }
    }

    private void addMessage(String format, Map<String, Object> message)
            throws MalformedMessageException, IOException {
        if (message == null) {
            return;
        }
        for (String items : List.of("reports", "answers")) {
            Object list =
                    message.containsKey("packed-" + items)
                            ? unpack((String) message.get("packed-" + items))
                            : message.get(items);
            if (list instanceof List<?> all) {
                all.stream()
                        .map(item -> (List<?>) item)
                        .filter(StoredValuesGoldenTest::showsTasks)
                        .findFirst()
                        .ifPresent(item -> addShapes(format + " " + items, message, item));
            }
        }
    }

    private void addShapes(String name, Map<String, Object> message, List<?> item) {
        shapes.putIfAbsent(name, ValueShape.of(message));
        shapes.putIfAbsent(name + ", one", ValueShape.ofEach(item));
    }

    /** Returns false for a report without tasks, which would not show the format of tasks. */
    private static boolean showsTasks(List<?> item) {
        return item.stream()
                .noneMatch(
                        part ->
                                part instanceof Map<?, ?> map
                                        && map.get("shards") instanceof List<?> tasks
                                        && tasks.isEmpty());
    }

    /** A packed list: Base64 of a deflated CBOR map. */
    private static Object unpack(String text) throws MalformedMessageException, IOException {
        byte[] deflated = Base64.getDecoder().decode(text);
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            return Cbor.decodeMap(in.readAllBytes()).get("items");
        }
    }

    @Test
    void valuesOtherThanRecordsMatchGoldenShapes() {
        ClusterSimulation cluster = new ClusterSimulation(1, Scenario.UPGRADE);
        cluster.users.submitUntil(DAY_MICROS);
        cluster.upgradeNodes(DAY_MICROS);
        cluster.loop.run(2 * DAY_MICROS);
        for (String key :
                List.of(
                        "leader",
                        "term",
                        "types",
                        "version/agreed",
                        "version/node/node-0",
                        "rollout/state",
                        "rollout/node/node-0")) {
            shapes.put(key, ValueShape.of(cluster.stored(key)));
        }
        check("stored-values.txt");
    }

    private void check(String file) {
        GoldenFile golden = new GoldenFile();
        shapes.forEach(golden::addValue);
        golden.check(file);
    }
}
