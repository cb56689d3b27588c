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
    private long sent;

    /** The last one sent of those that were answered. */
    private long latestAnswered;

    /** One request on its way. */
    static final class Sent {
        private final long number;
        private final long micros;
        private boolean answered;

        private Sent(long number, long micros) {
            this.number = number;
            this.micros = micros;
        }

        boolean answered() {
            return answered;
        }
    }

    Sent send(long nowMicros) {
        Sent request = new Sent(++sent, nowMicros);
        requests.addLast(request);
        return request;
    }

    /**
     * @param response whether the service has said anything
     */
    void done(Sent request, boolean response) {
        request.answered = true;
        requests.remove(request);
        if (response) {
            latestAnswered = Math.max(latestAnswered, request.number);
        }
    }

    /** A request that was sent later has been answered. */
    boolean overtaken(Sent request) {
        return request.number < latestAnswered;
    }

    int size() {
        return requests.size();
    }

    /** How many may well be answered still. */
    int awaited(long nowMicros) {
        int count = 0;
        for (Sent request : requests) {
            count += overtaken(request) && nowMicros - request.micros > OVERTAKEN_MICROS ? 0 : 1;
        }
        return count;
    }
}
