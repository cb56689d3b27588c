package org.woadloom.node;

import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.rollout.Feature;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.EventLoop;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreLimits;

/** Adds events with the store's limits and the state of the rollout for a leader's scheduler. */
final class SchedulerStatusFeed {
    /** The relative change of the write rate above which the scheduler is informed. */
    private static final double MIN_RATE_CHANGE = 0.05;

    private static final long ROLLOUT_INTERVAL_MICROS = 1_000_000;

    /**
     * Earlier than any time of the loop, yet far enough from the minimum for subtractions not to
     * overflow.
     */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreLimits limits;
    private final RolloutParticipant rollout;
    private final NodeMetrics metrics;
    private final DelegatedLeaseRenewer delegatedRenewer;
    private final EventQueue queue;
    private double sentWritesPerSecond;
    private long rolloutSentMicros = NEVER_MICROS;

    SchedulerStatusFeed(
            EventLoop loop,
            StoreClient store,
            StoreLimits limits,
            RolloutParticipant rollout,
            NodeMetrics metrics,
            DelegatedLeaseRenewer delegatedRenewer,
            EventQueue queue) {
        this.loop = loop;
        this.store = store;
        this.limits = limits;
        this.rollout = rollout;
        this.metrics = metrics;
        this.delegatedRenewer = delegatedRenewer;
        this.queue = queue;
    }

    void sendStoreLimits() {
        sentWritesPerSecond = store.writesPerSecond();
        int maxValueBytes =
                rollout.format() == RecordFormat.COMPACT
                        ? limits.maxValueBytes()
                        : limits.maxAcceptedValueBytes();
        queue.add(
                new SchedulerEvent.StoreLimitsChanged(
                        maxValueBytes,
                        rollout.format(),
                        sentWritesPerSecond,
                        delegatedRenewer.isEnabled(),
                        rollout.isOn(Feature.MACHINE_LIFECYCLE)));
    }

    void sendStoreLimitsIfRateChanged() {
        double change = Math.abs(store.writesPerSecond() - sentWritesPerSecond);
        if (change > sentWritesPerSecond * MIN_RATE_CHANGE) {
            sendStoreLimits();
        }
    }

    /** Sends the state of the rollout, unless it was sent less than a second ago. */
    void sendRolloutStateIfDue() {
        long now = loop.nowMicros();
        if (now - rolloutSentMicros < ROLLOUT_INTERVAL_MICROS) {
            return;
        }
        rolloutSentMicros = now;
        SchedulerEvent.RolloutStateRead state = rollout.rolloutState(metrics.refusedOrLateCount());
        if (state != null) {
            queue.add(state);
        }
    }

    /** Called when the rollout state that was sent last is outdated. */
    void onRolloutChanged() {
        sendStoreLimits();
        rolloutSentMicros = NEVER_MICROS;
        sendRolloutStateIfDue();
    }
}
