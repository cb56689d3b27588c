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
 * The queue in front of the core: whatever has gathered by the time the core gets its turn is one
 * batch. The core then pauses for a multiple of what the batch took, so that under load the batches
 * grow and sockets are still served.
 */
public final class EventQueue {
    private static final long PAUSE_MICROS = 8_000;
    private static final long MAX_PAUSE_MICROS = 200_000;
    private static final int PAUSE_PER_STEP = 2;

    private final EventLoop loop;
    private final Scheduler core;
    private final Executor executor;
    private final NodeMetrics metrics;
    private final int maxHeartbeats;
    private final StepObserver observer;
    private final ManyToOneConcurrentLinkedQueue<SchedulerEvent> queue =
            new ManyToOneConcurrentLinkedQueue<>();
    private final AtomicInteger queuedHeartbeats = new AtomicInteger();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private volatile long notBeforeMicros = Long.MIN_VALUE / 2;

    /** Carries out what the core wants done. */
    public interface Executor {
        void execute(List<SchedulerAction> actions);
    }

    /**
     * @param mostRepeatable how many commands may wait that their senders repeat by themselves
     */
    public EventQueue(
            EventLoop loop,
            Scheduler scheduler,
            NodeMetrics metrics,
            int maxHeartbeats,
            Executor executor) {
        this(loop, scheduler, metrics, maxHeartbeats, executor, StepObserver.NONE);
    }

    /** The same, with an observer of each step. */
    EventQueue(
            EventLoop loop,
            Scheduler scheduler,
            NodeMetrics metrics,
            int maxHeartbeats,
            Executor executor,
            StepObserver observer) {
        this.loop = loop;
        this.core = scheduler;
        this.executor = executor;
        this.metrics = metrics;
        this.maxHeartbeats = maxHeartbeats;
        this.observer = observer;
    }

    /**
     * Takes what must not get lost: the outcome of something that was asked for. What is under way
     * bounds their number.
     */
    public void add(SchedulerEvent event) {
        queue.add(event);
        wake();
    }

    /**
     * Takes a report, which its worker repeats; returns false if too many wait, and it is dropped
     * then.
     */
    public boolean offer(SchedulerEvent.HeartbeatReceived report) {
        if (queuedHeartbeats.incrementAndGet() > maxHeartbeats) {
            queuedHeartbeats.decrementAndGet();
            refused.incrementAndGet();
            return false;
        }
        add(report);
        return true;
    }

    /** Reports that were refused because too many waited, since the process began. */
    long refused() {
        return refused.get();
    }

    private void wake() {
        if (scheduled.compareAndSet(false, true)) {
            long wait = notBeforeMicros - loop.nowMicros();
            if (wait > 0) {
                loop.schedule(wait, this::drain);
            } else {
                loop.execute(this::drain);
            }
        }
    }

    private void drain() {
        long startMicros = loop.nowMicros();
        List<SchedulerEvent> batch = new ArrayList<>();
        for (SchedulerEvent event = queue.poll(); event != null; event = queue.poll()) {
            if (event instanceof SchedulerEvent.HeartbeatReceived) {
                queuedHeartbeats.decrementAndGet();
            }
            batch.add(event);
        }
        List<SchedulerAction> actions = core.step(startMicros, loop.wallMicros(), batch);
        metrics.stepped(loop.nowMicros() - startMicros);
        observer.onStep(startMicros, batch, actions);
        actions.forEach(metrics::done);
        executor.execute(actions);
        long endMicros = loop.nowMicros();
        notBeforeMicros =
                endMicros
                        + Math.min(
                                MAX_PAUSE_MICROS,
                                Math.max(PAUSE_MICROS, (endMicros - startMicros) * PAUSE_PER_STEP));
        scheduled.set(false);
        if (!queue.isEmpty()) {
            wake();
        }
    }
}
