package org.woadloom.metrics;

import com.google.common.util.concurrent.AtomicDouble;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Measurement;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.slo.ServiceLevelReport;

/** What a node counts of itself. */
public final class NodeMetrics {
    /** A step that takes so long holds up everything else. */
    private static final long LATE_MICROS = 250_000;

    private long restless;
    private final MeterRegistry registry = new SimpleMeterRegistry();
    private final Timer steps = registry.timer("woadloom.core.step");

    /** By what was asked and the status: to have the registry find one costs more than to count. */
    private final Map<String, Map<Integer, Counter>> httpAnswers = new HashMap<>();

    private final Counter answers = registry.counter("woadloom.reports.answered");
    private final Counter launches = registry.counter("woadloom.direct.sent");
    private final Counter writes = registry.counter("woadloom.records.written");
    private final Counter rentals = registry.counter("woadloom.cloud.rentals");
    private final Map<String, AtomicDouble> served = new HashMap<>();
    private final Counter deletions = registry.counter("woadloom.cloud.deletions");

    /** Notes the answer to a request of users or workers. */
    public void answered(String what, int status) {
        if (status == 503 && !what.equals("report")) {
            restless++;
        }
        httpAnswers
                .computeIfAbsent(what, w -> new HashMap<>())
                .computeIfAbsent(
                        status,
                        s ->
                                registry.counter(
                                        "woadloom.http.answers",
                                        "what",
                                        what,
                                        "status",
                                        Integer.toString(s)))
                .increment();
    }

    /** Answers that were refused and steps that were late, since the process began. */
    public long restless() {
        return restless;
    }

    public void stepped(long micros) {
        if (micros > LATE_MICROS) {
            restless++;
        }
        steps.record(micros, TimeUnit.MICROSECONDS);
    }

    public void done(SchedulerAction action) {
        if (action instanceof SchedulerAction.AnswerHeartbeat) {
            answers.increment();
        } else if (action instanceof SchedulerAction.SendDirectCommand) {
            launches.increment();
        } else if (action instanceof SchedulerAction.WriteJob
                || action instanceof SchedulerAction.WriteFinalState) {
            writes.increment();
        } else if (action instanceof SchedulerAction.RentMachines) {
            rentals.increment();
        } else if (action instanceof SchedulerAction.DeleteMachines) {
            deletions.increment();
        } else if (action instanceof SchedulerAction.PublishServiceLevels seen) {
            seen.rows().forEach(this::served);
        }
    }

    /**
     * The latest row of each team and class stands until the next; a node that leads no more keeps
     * its last.
     */
    private void served(ServiceLevelReport.Row row) {
        Tags tags = Tags.of("team", row.team(), "class", row.jobClass());
        servedGauge("accepted", tags, row.accepted());
        servedGauge("started", tags, row.fullyStarted());
        servedGauge("over", tags, row.ended());
        servedGauge("wait_s", tags, row.longestWaitMicros() / 1e6);
    }

    private void servedGauge(String what, Tags tags, double value) {
        served.computeIfAbsent(
                        what + tags,
                        key -> registry.gauge("woadloom.served." + what, tags, new AtomicDouble()))
                .set(value);
    }

    /** A value that is read whenever the metrics are. */
    public <T> void gauge(String name, T of, ToDoubleFunction<T> value) {
        registry.gauge(name, of, value);
    }

    /** All meters, by name and tags. */
    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        for (Meter meter : registry.getMeters()) {
            StringBuilder name = new StringBuilder(meter.getId().getName());
            for (Tag tag : meter.getId().getTags()) {
                name.append(' ').append(tag.getKey()).append('=').append(tag.getValue());
            }
            for (Measurement measurement : meter.measure()) {
                map.put(
                        name + " " + measurement.getStatistic().getTagValueRepresentation(),
                        measurement.getValue());
            }
        }
        return map;
    }
}
