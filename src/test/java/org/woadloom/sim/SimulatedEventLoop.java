package org.woadloom.sim;

import java.util.PriorityQueue;
import org.woadloom.net.EventLoop;

/**
 * An event loop in virtual time. Tasks run in order of their time; tasks with the same time run in
 * the order in which they were scheduled.
 */
public final class SimulatedEventLoop {
    private record Task(long at, long order, Runnable run, boolean[] cancelled) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private long now;
    private long order;

    public long now() {
        return now;
    }

    EventLoop.Timer at(long time, Runnable run) {
        boolean[] cancelled = {false};
        tasks.add(new Task(Math.max(now, time), ++order, run, cancelled));
        return () -> cancelled[0] = true;
    }

    EventLoop.Timer after(long delay, Runnable run) {
        return at(now + delay, run);
    }

    /** Runs the next task; returns false if none is due up to and including {@code until}. */
    boolean step(long until) {
        Task next = tasks.peek();
        if (next == null || next.at > until) {
            now = until;
            return false;
        }
        tasks.poll();
        now = next.at;
        if (!next.cancelled[0]) {
            next.run.run();
        }
        return true;
    }

    public void run(long until) {
        while (step(until)) {
            continue;
        }
    }

    /** Returns the loop of a node that never stops and whose wall clock equals the virtual time. */
    EventLoop loop() {
        return new EventLoop() {
            @Override
            public long nowMicros() {
                return now();
            }

            @Override
            public long wallMicros() {
                return now();
            }

            @Override
            public void execute(Runnable task) {
                after(1, task);
            }

            @Override
            public Timer schedule(long delayMicros, Runnable task) {
                return after(delayMicros, task);
            }
        };
    }
}
