package org.woadloom.net;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Event loop on XNIO's single I/O thread. A node runs on a fifth of a core, so a second thread
 * would add context switches without adding throughput.
 */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
    private static final int MICROS_PER_MILLI = 1000;
    private static final int NANOS_PER_MICRO = 1000;

    private final XnioIoThread thread;

    public XnioEventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    @Override
    public long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    @Override
    public long wallMicros() {
        return System.currentTimeMillis() * MICROS_PER_MILLI;
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(() -> run(task));
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        XnioExecutor.Key key =
                thread.executeAfter(
                        () -> run(task),
                        Math.max(1, (delayMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI),
                        TimeUnit.MILLISECONDS);
        return key::remove;
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // A bug in one task must not terminate this thread, which renews the leases of all
            // agents.
            LOG.error("event=loop_task_failed", e);
        } catch (Error e) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }
}
