package org.woadloom.node;

import org.woadloom.net.EventLoop;

/** An event loop whose time stands still and which never runs a task. */
final class StoppedEventLoop implements EventLoop {
    @Override
    public long nowMicros() {
        return 0;
    }

    @Override
    public long wallMicros() {
        return 0;
    }

    @Override
    public void execute(Runnable task) {}

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        return () -> {};
    }
}
