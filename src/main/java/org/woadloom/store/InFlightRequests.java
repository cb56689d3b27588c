package org.woadloom.store;

import java.util.ArrayDeque;

/** Requests that were sent and are not answered yet, in sending order. */
final class InFlightRequests {
    private final ArrayDeque<SentRequest> requests = new ArrayDeque<>();
    private long lastSentNumber;

    /** Highest number among the answered requests. Requests are numbered in sending order. */
    private long lastAnsweredNumber;

    /** A request that was sent. */
    static final class SentRequest {
        private final long number;
        private final long sentMicros;
        private boolean isAnswered;

        private SentRequest(long number, long sentMicros) {
            this.number = number;
            this.sentMicros = sentMicros;
        }

        /** Returns true once the request was answered or has timed out. */
        boolean isAnswered() {
            return isAnswered;
        }
    }

    /** Registers a request that is sent now. */
    SentRequest add(long nowMicros) {
        lastSentNumber++;
        SentRequest request = new SentRequest(lastSentNumber, nowMicros);
        requests.addLast(request);
        return request;
    }

    /**
     * Removes a request that was answered or has timed out.
     *
     * @param hasAnswer false for a timeout or a broken connection
     */
    void onAnswered(SentRequest request, boolean hasAnswer) {
        request.isAnswered = true;
        requests.remove(request);
        if (hasAnswer) {
            lastAnsweredNumber = Math.max(lastAnsweredNumber, request.number);
        }
    }

    /** Returns true if a request that was sent later has already been answered. */
    boolean isOvertaken(SentRequest request) {
        return request.number < lastAnsweredNumber;
    }

    /** Returns the number of unanswered requests, including overtaken ones. */
    int size() {
        return requests.size();
    }

    /**
     * Returns the number of requests whose answer is still expected, that is, without those that
     * were overtaken and are older than {@link StoreRequestPolicy#OVERTAKEN_MICROS}.
     */
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
