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
 * The queue of the scheduler's events. All events that have accumulated by the time the scheduler
 * runs form one batch. The scheduler then pauses for a multiple of the time that the batch took, so
 * that under load the batches grow and sockets are still served. Events may be added from any
 * thread; batches are processed on the event loop.
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
    private final AtomicLong refusedHeartbeats = new AtomicLong();
    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    /** The earliest time of the next batch; initially earlier than any time of the loop. */
    private volatile long nextBatchMicros = Long.MIN_VALUE / 2;

    /** Carries out the scheduler's actions. */
    public interface ActionHandler {
        /** Called on the event loop after each batch, even if it led to no actions. */
        void onActions(List<SchedulerAction> actions);
    }

    /**
     * Creates a queue without an observer.
     *
     * @param maxHeartbeats how many heartbeats may be queued; an agent whose heartbeat is refused
     *     sends another
     */
    public EventQueue(
            EventLoop loop,
            Scheduler scheduler,
            NodeMetrics metrics,
            int maxHeartbeats,
            ActionHandler actionHandler) {
        this(loop, scheduler, metrics, maxHeartbeats, actionHandler, StepObserver.NONE);
    }

    /** Creates a queue with an observer of each step. */
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
     * Adds an event that must not be lost, such as the outcome of a request. The number of such
     * events is bounded by the number of requests in flight.
     */
    public void add(SchedulerEvent event) {
        queue.add(event);
        scheduleDrain();
    }

    /**
     * Adds a heartbeat unless too many are queued. A heartbeat may be dropped because its agent
     * sends another.
     *
     * @return false if the heartbeat was dropped
     */
    public boolean offer(SchedulerEvent.HeartbeatReceived heartbeat) {
        if (queuedHeartbeats.incrementAndGet() > maxHeartbeats) {
            queuedHeartbeats.decrementAndGet();
            refusedHeartbeats.incrementAndGet();
            return false;
        }
        add(heartbeat);
        return true;
    }

    /** Heartbeats that were dropped because too many were queued, since the process started. */
    long refusedHeartbeats() {
        return refusedHeartbeats.get();
    }

    private void scheduleDrain() {
        if (drainScheduled.compareAndSet(false, true)) {
            long waitMicros = nextBatchMicros - loop.nowMicros();
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
        nextBatchMicros = endMicros + pauseMicros(endMicros - startMicros);
        drainScheduled.set(false);
        if (!queue.isEmpty()) {
            scheduleDrain();
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
