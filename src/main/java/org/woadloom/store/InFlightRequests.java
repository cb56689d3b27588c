package org.woadloom.store;

import java.util.ArrayDeque;

/**
 * The requests that have been sent and have no answer yet, in the order in which they were sent.
 */
final class InFlightRequests {
    private final ArrayDeque<SentRequest> requests = new ArrayDeque<>();
    private long lastSentNumber;

    /** The number of the last one sent of those that were answered. */
    private long lastAnsweredNumber;

    /** One request on its way. */
    static final class SentRequest {
        private final long number;
        private final long sentMicros;
        private boolean isAnswered;

        private SentRequest(long number, long sentMicros) {
            this.number = number;
            this.sentMicros = sentMicros;
        }

        /** True once it was answered or its time-out has passed. */
        boolean isAnswered() {
            return isAnswered;
        }
    }

    /** Adds a request that is sent now. */
    SentRequest add(long nowMicros) {
        lastSentNumber++;
        SentRequest request = new SentRequest(lastSentNumber, nowMicros);
        requests.addLast(request);
        return request;
    }

    /**
     * Removes a request whose answer or time-out came.
     *
     * @param hasAnswer false for a time-out or a broken connection
     */
    void onAnswered(SentRequest request, boolean hasAnswer) {
        request.isAnswered = true;
        requests.remove(request);
        if (hasAnswer) {
            lastAnsweredNumber = Math.max(lastAnsweredNumber, request.number);
        }
    }

    /** True if a request that was sent later has been answered. */
    boolean isOvertaken(SentRequest request) {
        return request.number < lastAnsweredNumber;
    }

    /** How many have no answer yet, the overtaken ones among them. */
    int size() {
        return requests.size();
    }

    /** How many may still be answered: those that were not overtaken long ago. */
    int expectedAnswerCount(long nowMicros) {
        int count = 0;
        for (SentRequest request : requests) {
            if (!isNoLongerExpected(request, nowMicros)) {
                count++;
            }
        }
        return count;
    }

    private boolean isNoLongerExpected(SentRequest request, long nowMicros) {
        return isOvertaken(request)
                && nowMicros - request.sentMicros > StoreRequestPolicy.OVERTAKEN_MICROS;
    }
}
