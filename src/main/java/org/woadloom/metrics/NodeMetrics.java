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

/** The metrics of one node. Must only be used on the event loop. */
public final class NodeMetrics {
    /** A scheduler step longer than this delays all other work of the node noticeably. */
    private static final long LATE_STEP_MICROS = 250_000;

    private static final int SERVICE_UNAVAILABLE = 503;

    /** Name of agents' requests in the metrics. A refusal of one is not a sign of overload. */
    private static final String HEARTBEAT = "report";

    private static final double MICROS_PER_SECOND = 1e6;

    private long refusedOrLateCount;
    private final MeterRegistry registry = new SimpleMeterRegistry();
    private final Timer steps = registry.timer("woadloom.core.step");

    /**
     * Counters by request and status, because looking up a counter in the registry costs more than
     * incrementing it.
     */
    private final Map<String, Map<Integer, Counter>> httpAnswers = new HashMap<>();

    private final Counter heartbeatAnswers = registry.counter("woadloom.reports.answered");
    private final Counter directCommands = registry.counter("woadloom.direct.sent");
    private final Counter recordWrites = registry.counter("woadloom.records.written");
    private final Counter rentals = registry.counter("woadloom.cloud.rentals");
    private final Map<String, AtomicDouble> serviceLevelGauges = new HashMap<>();
    private final Counter deletions = registry.counter("woadloom.cloud.deletions");

    /**
     * Counts the response to a request of a user or an agent.
     *
     * @param request kind of request, as named in the metrics
     */
    public void recordResponse(String request, int status) {
        if (status == SERVICE_UNAVAILABLE && !request.equals(HEARTBEAT)) {
            refusedOrLateCount++;
        }
        httpAnswers
                .computeIfAbsent(request, key -> new HashMap<>())
                .computeIfAbsent(
                        status,
                        key ->
                                registry.counter(
                                        "woadloom.http.answers",
                                        "what",
                                        request,
                                        "status",
                                        Integer.toString(key)))
                .increment();
    }

    /**
     * Counts a request that was refused as malformed.
     *
     * @param request kind of request, as named in the metrics
     * @param field the field that was the reason
     */
    public void recordMalformedRequest(String request, String field) {
        registry.counter("woadloom.http.malformed", "what", request, "field", field).increment();
    }

    /**
     * Returns one sum since the process started: the number of requests other than heartbeats that
     * were answered with status 503, plus the number of scheduler steps that were late.
     */
    public long refusedOrLateCount() {
        return refusedOrLateCount;
    }

    /** Records the duration of a scheduler step. */
    public void recordStep(long micros) {
        if (micros > LATE_STEP_MICROS) {
            refusedOrLateCount++;
        }
        steps.record(micros, TimeUnit.MICROSECONDS);
    }

    /** Returns the total duration of all scheduler steps since the process started. */
    public double stepSeconds() {
        return steps.totalTime(TimeUnit.SECONDS);
    }

    /** Counts an action decided by the scheduler. */
    public void recordAction(SchedulerAction action) {
        if (action instanceof SchedulerAction.AnswerHeartbeat) {
            heartbeatAnswers.increment();
        } else if (action instanceof SchedulerAction.SendDirectCommand) {
            directCommands.increment();
        } else if (action instanceof SchedulerAction.WriteJob
                || action instanceof SchedulerAction.WriteFinalState) {
            recordWrites.increment();
        } else if (action instanceof SchedulerAction.RentMachines) {
            rentals.increment();
        } else if (action instanceof SchedulerAction.DeleteMachines) {
            deletions.increment();
        } else if (action instanceof SchedulerAction.PublishServiceLevels report) {
            report.rows().forEach(this::setServiceLevels);
        }
    }

    /**
     * Sets the gauges of a team and job class. They keep their values until the next report; a node
     * that is no longer the leader keeps its last values.
     */
    private void setServiceLevels(ServiceLevelReport.Row row) {
        Tags tags = Tags.of("team", row.team(), "class", row.jobClass());
        setServiceLevelGauge("accepted", tags, row.accepted());
        setServiceLevelGauge("started", tags, row.fullyStarted());
        setServiceLevelGauge("over", tags, row.ended());
        setServiceLevelGauge("wait_s", tags, row.longestWaitMicros() / MICROS_PER_SECOND);
    }

    private void setServiceLevelGauge(String name, Tags tags, double value) {
        serviceLevelGauges
                .computeIfAbsent(
                        name + tags,
                        key -> registry.gauge("woadloom.served." + name, tags, new AtomicDouble()))
                .set(value);
    }

    /** Registers a gauge, which is evaluated whenever the metrics are read. */
    public <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
        registry.gauge(name, source, value);
    }

    /** Registers one of several gauges with the same name, distinguished by a tag. */
    public <T> void gauge(
            String name, String tag, String tagValue, T source, ToDoubleFunction<T> value) {
        registry.gauge(name, Tags.of(tag, tagValue), source, value);
    }

    /** Returns all metric values by name and tags. */
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
