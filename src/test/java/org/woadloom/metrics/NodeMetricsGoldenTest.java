package org.woadloom.metrics;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.slo.ServiceLevelReport;
import org.woadloom.golden.GoldenFile;

/**
 * Compares the metrics of {@link NodeMetrics} with a golden file, by name, tags and value. The
 * gauges of other components are covered by the golden file for a whole node.
 */
class NodeMetricsGoldenTest {
    @Test
    void countersAndGaugesMatchGoldenFile() {
        NodeMetrics metrics = new NodeMetrics();
        metrics.recordResponse("submit", 201);
        metrics.recordResponse("report", 503);
        metrics.recordStep(1_500);
        metrics.recordAction(new SchedulerAction.AnswerHeartbeat(1, 2, List.of()));
        metrics.recordAction(
                new SchedulerAction.SendDirectCommand(1, "host-1", "10.0.0.1:1", 2, 3, List.of()));
        metrics.recordAction(new SchedulerAction.ReadJob("j-1"));
        metrics.recordAction(new SchedulerAction.RentMachines("claim", "m", "a", false, 1));
        metrics.recordAction(new SchedulerAction.DeleteMachines(List.of("host-1")));
        metrics.recordAction(
                new SchedulerAction.PublishServiceLevels(
                        List.of(
                                new ServiceLevelReport.Row(
                                        "red", "nightly", 5, 4, 3, 2, 1_500_000))));
        metrics.gauge("woadloom.test", this, test -> 7);
        GoldenFile golden = new GoldenFile();
        metrics.toMap().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> golden.addValue(entry.getKey(), entry.getValue()));
        golden.check("metrics.txt");
    }
}
