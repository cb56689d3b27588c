package org.woadloom.soak;

import java.util.Random;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;

/** While active, has requests that were executed and answered executed again, whole and late. */
final class RequestRepeater {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int REPEATED_PERCENT = 60;
    private static final int MIN_DELAY_MICROS = 300_000;

    /** Well over the lease of an agent. */
    private static final int DELAY_SPREAD_MICROS = 15_000_000;

    private final EventLoop loop;
    private final Random random;
    private boolean active;
    private long repeatedCount;

    RequestRepeater(EventLoop loop, Random random) {
        this.loop = loop;
        this.random = random;
    }

    void setActive(boolean active) {
        this.active = active;
    }

    /** Number of requests that were executed again. */
    long repeatedCount() {
        return repeatedCount;
    }

    /** Must be called when a request that changes something was answered. */
    void onAnswered(int status, Runnable executeAgain) {
        boolean wasExecuted = status == OK || status == CREATED;
        if (active && wasExecuted && random.nextInt(100) < REPEATED_PERCENT) {
            loop.schedule(
                    MIN_DELAY_MICROS + random.nextInt(DELAY_SPREAD_MICROS),
                    () -> {
                        repeatedCount++;
                        executeAgain.run();
                    });
        }
    }

    /**
     * Returns a transport that repeats the requests sent through it.
     *
     * @param copies the transport for the repeated ones, so that they hold up no others
     */
    HttpTransport repeating(HttpTransport originals, HttpTransport copies) {
        return (address, method, path, body, timeoutMicros, callback) ->
                originals.request(
                        address,
                        method,
                        path,
                        body,
                        timeoutMicros,
                        (status, answer) -> {
                            if (body != null) {
                                onAnswered(
                                        status,
                                        () ->
                                                copies.request(
                                                        address,
                                                        method,
                                                        path,
                                                        body,
                                                        timeoutMicros,
                                                        (copyStatus, copyAnswer) -> {}));
                            }
                            callback.onResponse(status, answer);
                        });
    }
}
