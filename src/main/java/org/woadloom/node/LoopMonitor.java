package org.woadloom.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.EventLoop;

/**
 * Detects stalls of the event loop. A timer that fires late shows for how long nothing else ran in
 * time either, including the renewal of the leader's lease.
 */
final class LoopMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(LoopMonitor.class);
    private static final long CHECK_INTERVAL_MICROS = 500_000;
    private static final long LATE_MICROS = 1_000_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final EventLoop loop;
    private final NodeMetrics metrics;
    private long dueMicros;
    private long maxLateMicros;

    /** The total duration of the scheduler's steps at the last check. */
    private double stepSecondsAtLastCheck;

    LoopMonitor(EventLoop loop, NodeMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
        metrics.gauge("woadloom.loop.late_s", this, m -> m.maxLateMicros / MICROS_PER_SECOND);
    }

    void start() {
        dueMicros = loop.nowMicros() + CHECK_INTERVAL_MICROS;
        loop.schedule(CHECK_INTERVAL_MICROS, this::check);
    }

    private void check() {
        long lateMicros = loop.nowMicros() - dueMicros;
        double currentStepSeconds = metrics.stepSeconds();
        maxLateMicros = Math.max(maxLateMicros, lateMicros);
        if (lateMicros > LATE_MICROS) {
            LOG.warn(
                    "event=loop_late late_ms={} scheduler_ms={}",
                    lateMicros / 1_000,
                    Math.round((currentStepSeconds - stepSecondsAtLastCheck) * 1_000));
        }
        stepSecondsAtLastCheck = currentStepSeconds;
        start();
    }
}
