package org.woadloom.metrics;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.core.Effect;
import org.woadloom.core.served.Served;
import org.woadloom.golden.GoldenFile;

/**
 * What a node counts of itself, by name, tags and value; the gauges of its parts are in the answers
 * of a whole node.
 */
class NodeMetricsGoldenTest {
    @Test
    void countersAndGaugesAreAsRecorded() {
        NodeMetrics metrics = new NodeMetrics();
        metrics.answered("submit", 201);
        metrics.answered("report", 503);
        metrics.stepped(1_500);
        metrics.done(new Effect.Answer(1, 2, List.of()));
        metrics.done(new Effect.SendDirect(1, "host-1", "10.0.0.1:1", 2, 3, List.of()));
        metrics.done(new Effect.ReadJob("j-1"));
        metrics.done(new Effect.Rent("claim", "m", "a", false, 1));
        metrics.done(new Effect.Delete(List.of("host-1")));
        metrics.done(
                new Effect.ServedSeen(
                        List.of(new Served.Row("red", "nightly", 5, 4, 3, 2, 1_500_000))));
        metrics.gauge("woadloom.test", this, test -> 7);
        GoldenFile golden = new GoldenFile();
        metrics.toMap().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> golden.addValue(entry.getKey(), entry.getValue()));
        golden.check("metrics.txt");
    }
}
