package org.woadloom.net;

/**
 * The one thread on which a node does everything, and its clocks. The service runs it on an XNIO
 * I/O thread, the tests in virtual time.
 */
public interface EventLoop {
    /**
     * The steady clock. It may run fast or slow by a little, and says nothing of the time of day.
     */
    long nowMicros();

    /** The time of day, within the platform's bound of the truth. */
    long wallMicros();

    /** Runs the task soon, after what is running now. May be called from any thread. */
    void execute(Runnable task);

    /** Runs the task once, after the delay, unless it is cancelled before. */
    Timer schedule(long delayMicros, Runnable task);

    /** A scheduled task. */
    interface Timer {
        void cancel();
    }
}
