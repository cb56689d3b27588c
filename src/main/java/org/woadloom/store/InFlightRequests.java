package org.woadloom.store;

import java.util.ArrayDeque;

/**
 * The requests that have been sent and have no answer yet, in the order in which they were sent.
 */
final class InFlightRequests {
    /**
     * A request that was sent so long ago, and that later ones have overtaken, is not waited for.
     */
    private static final long OVERTAKEN_MICROS = 300_000;

    private final ArrayDeque<Sent> requests = new ArrayDeque<>();
    private long lastNumber;

    /** The last one sent of those that were answered. */
    private long latestAnswered;

    /** One request on its way. */
    static final class Sent {
        private final long number;
        private final long micros;
        private boolean isAnswered;

        private Sent(long number, long micros) {
            this.number = number;
            this.micros = micros;
        }

        boolean isAnswered() {
            return isAnswered;
        }
    }

    Sent send(long nowMicros) {
        Sent request = new Sent(++lastNumber, nowMicros);
        requests.addLast(request);
        return request;
    }

    /**
     * @param response whether the service has said anything
     */
    void onAnswered(Sent request, boolean response) {
        request.isAnswered = true;
        requests.remove(request);
        if (response) {
            latestAnswered = Math.max(latestAnswered, request.number);
        }
    }

    /** A request that was sent later has been answered. */
    boolean isOvertaken(Sent request) {
        return request.number < latestAnswered;
    }

    int size() {
        return requests.size();
    }

    /** How many may well be answered still. */
    int awaitedCount(long nowMicros) {
        int count = 0;
        for (Sent request : requests) {
            count += isOvertaken(request) && nowMicros - request.micros > OVERTAKEN_MICROS ? 0 : 1;
        }
        return count;
    }
}
