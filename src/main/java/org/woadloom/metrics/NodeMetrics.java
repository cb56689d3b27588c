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

/** The meters of one node. Belongs to the event loop. */
public final class NodeMetrics {
    /** A step of the scheduler that takes longer holds up everything else. */
    private static final long LATE_STEP_MICROS = 250_000;

    private static final int SERVICE_UNAVAILABLE = 503;

    /** What requests of agents are called; that one is refused is no sign of overload. */
    private static final String HEARTBEAT = "report";

    private static final double MICROS_PER_SECOND = 1e6;

    private long refusedOrLateCount;
    private final MeterRegistry registry = new SimpleMeterRegistry();
    private final Timer steps = registry.timer("woadloom.core.step");

    /** By request and status: to have the registry find a counter costs more than to count. */
    private final Map<String, Map<Integer, Counter>> httpAnswers = new HashMap<>();

    private final Counter answers = registry.counter("woadloom.reports.answered");
    private final Counter directCommands = registry.counter("woadloom.direct.sent");
    private final Counter writes = registry.counter("woadloom.records.written");
    private final Counter rentals = registry.counter("woadloom.cloud.rentals");
    private final Map<String, AtomicDouble> served = new HashMap<>();
    private final Counter deletions = registry.counter("woadloom.cloud.deletions");

    /**
     * Counts the answer to a request of a user or an agent.
     *
     * @param what the kind of request, as the meters name it
     */
    public void recordResponse(String what, int status) {
        if (status == SERVICE_UNAVAILABLE && !what.equals(HEARTBEAT)) {
            refusedOrLateCount++;
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

    /** Users' requests that were refused and steps that were late, since the process started. */
    public long refusedOrLateCount() {
        return refusedOrLateCount;
    }

    /** Counts a step of the scheduler by the time that it took. */
    public void recordStep(long micros) {
        if (micros > LATE_STEP_MICROS) {
            refusedOrLateCount++;
        }
        steps.record(micros, TimeUnit.MICROSECONDS);
    }

    /** The time that all steps of the scheduler have taken, since the process started. */
    public double stepSeconds() {
        return steps.totalTime(TimeUnit.SECONDS);
    }

    /** Counts an action that the scheduler has decided on. */
    public void recordAction(SchedulerAction action) {
        if (action instanceof SchedulerAction.AnswerHeartbeat) {
            answers.increment();
        } else if (action instanceof SchedulerAction.SendDirectCommand) {
            directCommands.increment();
        } else if (action instanceof SchedulerAction.WriteJob
                || action instanceof SchedulerAction.WriteFinalState) {
            writes.increment();
        } else if (action instanceof SchedulerAction.RentMachines) {
            rentals.increment();
        } else if (action instanceof SchedulerAction.DeleteMachines) {
            deletions.increment();
        } else if (action instanceof SchedulerAction.PublishServiceLevels report) {
            report.rows().forEach(this::setServiceLevels);
        }
    }

    /**
     * The latest row of each team and class stands until the next; a node that leads no more keeps
     * its last.
     */
    private void setServiceLevels(ServiceLevelReport.Row row) {
        Tags tags = Tags.of("team", row.team(), "class", row.jobClass());
        setServedGauge("accepted", tags, row.accepted());
        setServedGauge("started", tags, row.fullyStarted());
        setServedGauge("over", tags, row.ended());
        setServedGauge("wait_s", tags, row.longestWaitMicros() / MICROS_PER_SECOND);
    }

    private void setServedGauge(String what, Tags tags, double value) {
        served.computeIfAbsent(
                        what + tags,
                        key -> registry.gauge("woadloom.served." + what, tags, new AtomicDouble()))
                .set(value);
    }

    /** Registers a value that is read whenever the meters are. */
    public <T> void gauge(String name, T of, ToDoubleFunction<T> value) {
        registry.gauge(name, of, value);
    }

    /** The same for one of several values of that name, told apart by a tag. */
    public <T> void gauge(
            String name, String tag, String tagValue, T of, ToDoubleFunction<T> value) {
        registry.gauge(name, Tags.of(tag, tagValue), of, value);
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
