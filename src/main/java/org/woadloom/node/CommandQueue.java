package org.woadloom.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.woadloom.core.Command;
import org.woadloom.core.Core;
import org.woadloom.core.Effect;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.Loop;

/**
 * The queue in front of the core: whatever has gathered by the time the core gets its turn is one batch. The core then
 * pauses for a multiple of what the batch took, so that under load the batches grow and sockets are still served.
 */
public final class CommandQueue {
    private static final long PAUSE_MICROS = 8_000;
    private static final long MOST_PAUSE_MICROS = 200_000;
    private static final int PAUSE_PER_STEP = 2;

    private final Loop loop;
    private final Core core;
    private final Executor executor;
    private final NodeMetrics metrics;
    private final int mostRepeatable;
    private final StepObserver observer;
    private final ManyToOneConcurrentLinkedQueue<Command> queue = new ManyToOneConcurrentLinkedQueue<>();
    private final AtomicInteger repeatable = new AtomicInteger();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private volatile long notBeforeMicros = Long.MIN_VALUE / 2;

    /** Carries out what the core wants done. */
    public interface Executor {
        void execute(List<Effect> effects);
    }

    /** @param mostRepeatable how many commands may wait that their senders repeat by themselves */
    public CommandQueue(Loop loop, Core core, NodeMetrics metrics, int mostRepeatable, Executor executor) {
        this(loop, core, metrics, mostRepeatable, executor, StepObserver.NONE);
    }

    /** The same, with an observer of each step. */
    CommandQueue(Loop loop, Core core, NodeMetrics metrics, int mostRepeatable, Executor executor, StepObserver observer) {
        this.loop = loop;
        this.core = core;
        this.executor = executor;
        this.metrics = metrics;
        this.mostRepeatable = mostRepeatable;
        this.observer = observer;
    }

    /** Takes what must not get lost: the outcome of something that was asked for. What is under way bounds their number. */
    public void add(Command command) {
        queue.add(command);
        wake();
    }

    /** Takes a report, which its worker repeats; returns false if too many wait, and it is dropped then. */
    public boolean offer(Command.Report report) {
        if (repeatable.incrementAndGet() > mostRepeatable) {
            repeatable.decrementAndGet();
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
        long begin = loop.nowMicros();
        List<Command> batch = new ArrayList<>();
        for (Command command = queue.poll(); command != null; command = queue.poll()) {
            if (command instanceof Command.Report) {
                repeatable.decrementAndGet();
            }
            batch.add(command);
        }
        List<Effect> effects = core.step(begin, loop.wallMicros(), batch);
        metrics.stepped(loop.nowMicros() - begin);
        observer.onStep(begin, batch, effects);
        effects.forEach(metrics::done);
        executor.execute(effects);
        long end = loop.nowMicros();
        notBeforeMicros = end + Math.min(MOST_PAUSE_MICROS, Math.max(PAUSE_MICROS, (end - begin) * PAUSE_PER_STEP));
        scheduled.set(false);
        if (!queue.isEmpty()) {
            wake();
        }
    }
}
