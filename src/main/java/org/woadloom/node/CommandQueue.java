package org.woadloom.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.woadloom.core.Command;
import org.woadloom.core.Core;
import org.woadloom.core.Effect;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.Loop;

/** The queue in front of the core: whatever has gathered by the time the core gets its turn is one batch. */
public final class CommandQueue {
    private static final int CAPACITY = 4096;

    private final Loop loop;
    private final Core core;
    private final Executor executor;
    private final NodeMetrics metrics;
    private final ManyToOneConcurrentArrayQueue<Command> queue = new ManyToOneConcurrentArrayQueue<>(CAPACITY);
    private final AtomicBoolean scheduled = new AtomicBoolean();

    /** Carries out what the core wants done. */
    public interface Executor {
        void execute(List<Effect> effects);
    }

    public CommandQueue(Loop loop, Core core, NodeMetrics metrics, Executor executor) {
        this.loop = loop;
        this.core = core;
        this.executor = executor;
        this.metrics = metrics;
    }

    /** Returns false if the queue is full; the command is dropped then. */
    public boolean offer(Command command) {
        boolean taken = queue.offer(command);
        if (scheduled.compareAndSet(false, true)) {
            loop.execute(this::drain);
        }
        return taken;
    }

    private void drain() {
        scheduled.set(false);
        List<Command> batch = new ArrayList<>();
        queue.drainTo(batch, CAPACITY);
        long begin = loop.nowMicros();
        List<Effect> effects = core.step(begin, loop.wallMicros(), batch);
        metrics.stepped(loop.nowMicros() - begin);
        effects.forEach(metrics::done);
        executor.execute(effects);
    }
}
