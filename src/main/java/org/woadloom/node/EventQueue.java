package org.woadloom.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.woadloom.core.Scheduler;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.EventLoop;

/**
 * The queue in front of the scheduler: whatever has gathered by the time the scheduler gets its
 * turn is one batch. The scheduler then pauses for a multiple of what the batch took, so that under
 * load the batches grow and sockets are still served. Events may be added from any thread; batches
 * are taken on the event loop.
 */
public final class EventQueue {
    private static final long MIN_PAUSE_MICROS = 8_000;
    private static final long MAX_PAUSE_MICROS = 200_000;

    /** The pause after a batch, as a multiple of the time that the batch took. */
    private static final int PAUSE_FACTOR = 2;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final ActionHandler actionHandler;
    private final NodeMetrics metrics;
    private final int maxHeartbeats;
    private final StepObserver observer;
    private final ManyToOneConcurrentLinkedQueue<SchedulerEvent> queue =
            new ManyToOneConcurrentLinkedQueue<>();
    private final AtomicInteger queuedHeartbeats = new AtomicInteger();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    /** The next batch is not taken before this time; at first long before any time of the loop. */
    private volatile long notBeforeMicros = Long.MIN_VALUE / 2;

    /** Carries out the scheduler's actions. */
    public interface ActionHandler {
        /** Called on the event loop after each batch, also without any action. */
        void onActions(List<SchedulerAction> actions);
    }

    /**
     * Creates a queue without an observer.
     *
     * @param maxHeartbeats how many heartbeats may wait; their agents repeat them by themselves
     */
    public EventQueue(
            EventLoop loop,
            Scheduler scheduler,
            NodeMetrics metrics,
            int maxHeartbeats,
            ActionHandler actionHandler) {
        this(loop, scheduler, metrics, maxHeartbeats, actionHandler, StepObserver.NONE);
    }

    /** The same, with an observer of each step. */
    EventQueue(
            EventLoop loop,
            Scheduler scheduler,
            NodeMetrics metrics,
            int maxHeartbeats,
            ActionHandler actionHandler,
            StepObserver observer) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.actionHandler = actionHandler;
        this.metrics = metrics;
        this.maxHeartbeats = maxHeartbeats;
        this.observer = observer;
    }

    /**
     * Adds an event that must not get lost: the outcome of something that was asked for. What is
     * under way bounds their number.
     */
    public void add(SchedulerEvent event) {
        queue.add(event);
        wake();
    }

    /**
     * Adds a heartbeat, which its agent repeats; returns false if too many wait, and it is dropped
     * then.
     */
    public boolean offer(SchedulerEvent.HeartbeatReceived heartbeat) {
        if (queuedHeartbeats.incrementAndGet() > maxHeartbeats) {
            queuedHeartbeats.decrementAndGet();
            refused.incrementAndGet();
            return false;
        }
        add(heartbeat);
        return true;
    }

    /** Heartbeats that were refused because too many waited, since the process started. */
    long refusedHeartbeats() {
        return refused.get();
    }

    private void wake() {
        if (drainScheduled.compareAndSet(false, true)) {
            long waitMicros = notBeforeMicros - loop.nowMicros();
            if (waitMicros > 0) {
                loop.schedule(waitMicros, this::drain);
            } else {
                loop.execute(this::drain);
            }
        }
    }

    private void drain() {
        long startMicros = loop.nowMicros();
        List<SchedulerEvent> batch = takeBatch();
        List<SchedulerAction> actions = scheduler.step(startMicros, loop.wallMicros(), batch);
        metrics.recordStep(loop.nowMicros() - startMicros);
        observer.onStep(startMicros, batch, actions);
        actions.forEach(metrics::recordAction);
        actionHandler.onActions(actions);
        long endMicros = loop.nowMicros();
        notBeforeMicros = endMicros + pauseMicros(endMicros - startMicros);
        drainScheduled.set(false);
        if (!queue.isEmpty()) {
            wake();
        }
    }

    private List<SchedulerEvent> takeBatch() {
        List<SchedulerEvent> batch = new ArrayList<>();
        for (SchedulerEvent event = queue.poll(); event != null; event = queue.poll()) {
            if (event instanceof SchedulerEvent.HeartbeatReceived) {
                queuedHeartbeats.decrementAndGet();
            }
            batch.add(event);
        }
        return batch;
    }

    private static long pauseMicros(long batchMicros) {
        return Math.min(MAX_PAUSE_MICROS, Math.max(MIN_PAUSE_MICROS, batchMicros * PAUSE_FACTOR));
    }
}
