package org.woadloom.soak;

import org.woadloom.net.EventLoop;

/** Delegates to an event loop until stopped; tasks and timers that are due later are dropped. */
final class StoppableEventLoop implements EventLoop {
    private static final Timer NO_TIMER = () -> {};

    private final EventLoop loop;
    private volatile boolean stopped;

    StoppableEventLoop(EventLoop loop) {
        this.loop = loop;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public long nowMicros() {
        return loop.nowMicros();
    }

    @Override
    public long wallMicros() {
        return loop.wallMicros();
    }

    @Override
    public void execute(Runnable task) {
        if (!stopped) {
            loop.execute(() -> runUnlessStopped(task));
        }
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        return stopped ? NO_TIMER : loop.schedule(delayMicros, () -> runUnlessStopped(task));
    }

    private void runUnlessStopped(Runnable task) {
        if (!stopped) {
            task.run();
        }
    }
}
