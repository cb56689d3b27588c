package org.woadloom.net;

/**
 * The single thread on which a node runs all its work, and the node's clocks. The service runs it
 * on an XNIO I/O thread; the tests run it in virtual time.
 */
public interface EventLoop {
    /**
     * Returns the monotonic clock. Its rate may be slightly off, and it is unrelated to the wall
     * clock.
     */
    long nowMicros();

    /** Returns the wall clock, which the platform keeps within a bounded error of the true time. */
    long wallMicros();

    /** Runs the task as soon as possible after the current one. May be called from any thread. */
    void execute(Runnable task);

    /** Runs the task once after the delay, unless it is cancelled. */
    Timer schedule(long delayMicros, Runnable task);

    /** A scheduled task. */
    interface Timer {
        void cancel();
    }
}
