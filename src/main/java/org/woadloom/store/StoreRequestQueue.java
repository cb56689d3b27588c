package org.woadloom.store;

import java.util.Random;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.store.StoreClient.HealthListener;
import org.woadloom.store.StoreClient.RequestPriority;

/**
 * Queue of this node's requests to the store. {@link RequestScheduler} chooses the next request
 * under rates that stay below the store's limits. After a 429, a 503 or a missing answer, normal
 * and background requests are held back briefly, with jitter.
 *
 * <p>Single answers can get lost while the store keeps serving. A request that was overtaken by
 * later ones therefore does not hold back other requests and does not count as a sign of an outage.
 */
final class StoreRequestQueue {
    private static final long NEVER = Long.MAX_VALUE;
    private static final byte[] EMPTY_BODY = new byte[0];

    private final EventLoop loop;
    private final HttpTransport transport;
    private final String address;
    private final StoreLimits limits;
    private final int followerCount;
    private final Random random;
    private final HealthListener healthListener;
    private final RequestScheduler<StoreRequest> scheduler = new RequestScheduler<>();
    private final InFlightRequests inFlight = new InFlightRequests();
    private boolean isLeader;
    private long heldUntilMicros;

    /** Time of the earliest timer that sends requests waiting for a rate. */
    private long nextWakeMicros = NEVER;

    private long failureCount;
    private long shedCount;
    private long rateRefusalCount;
    private boolean isRefusing;

    /**
     * @param followerCount number of nodes among which the followers' part of the store's limits is
     *     divided
     */
    StoreRequestQueue(
            EventLoop loop,
            HttpTransport transport,
            String address,
            StoreLimits limits,
            int followerCount,
            Random random,
            HealthListener healthListener) {
        this.loop = loop;
        this.transport = transport;
        this.address = address;
        this.limits = limits;
        this.followerCount = followerCount;
        this.random = random;
        this.healthListener = healthListener;
    }

    /** Sets this node's part of the store's rate limits. */
    void setLeader(boolean isLeader) {
        this.isLeader = isLeader;
        updateRates(loop.nowMicros());
    }

    /** Returns the number of changes per second that this node may currently make. */
    double writesPerSecond() {
        double fraction =
                isLeader
                        ? StoreRequestPolicy.LEADER_WRITE_FRACTION
                        : StoreRequestPolicy.FOLLOWERS_WRITE_FRACTION / followerCount;
        return limits.writeRate(loop.nowMicros()) * fraction;
    }

    /** Returns the number of requests per second that this node may currently send. */
    double requestsPerSecond() {
        double fraction =
                isLeader
                        ? StoreRequestPolicy.LEADER_REQUEST_FRACTION
                        : StoreRequestPolicy.FOLLOWERS_REQUEST_FRACTION / followerCount;
        return limits.requestRate(loop.nowMicros()) * fraction;
    }

    private void updateRates(long nowMicros) {
        scheduler.setRates(nowMicros, requestsPerSecond(), writesPerSecond());
    }

    /** Returns how many requests were answered with 429 or 503 or not at all. */
    long failureCount() {
        return failureCount;
    }

    /**
     * Returns how many requests were dropped because they would have missed their deadline or their
     * queue was full.
     */
    long shed() {
        return shedCount;
    }

    /** Returns how many requests the store refused because they exceeded a rate limit. */
    long rateRefusalCount() {
        return rateRefusalCount;
    }

    int queuedCount(RateShare share) {
        return scheduler.queuedCount(share);
    }

    long longestQueuedMicros(RateShare share) {
        long now = loop.nowMicros();
        return scheduler
                .oldestOf(share)
                .mapToLong(request -> now - request.queuedMicros())
                .max()
                .orElse(0);
    }

    /** Returns true if the latest answer was 503. */
    boolean isRefusing() {
        return isRefusing;
    }

    /**
     * Queues a request, or drops it. The callback of a dropped request gets {@link
     * HttpTransport#NOT_SENT}, after this method has returned.
     *
     * @param deadlineMicros the request is not sent after this time, and is dropped immediately if
     *     it cannot be sent by then
     */
    void submit(RequestPriority priority, long deadlineMicros, StoreRequest request) {
        long now = loop.nowMicros();
        request.onQueued(now);
        boolean hasDeadline = deadlineMicros != StoreClient.NO_DEADLINE;
        boolean isTooLate =
                hasDeadline
                        && scheduler.estimatedWaitMicros(now, priority, request.changeCount())
                                > deadlineMicros - now;
        if (isTooLate || !scheduler.add(priority, request, request.changeCount())) {
            shed(request);
            return;
        }
        if (hasDeadline) {
            loop.schedule(
                    Math.max(1, deadlineMicros - now), () -> shedIfStillQueued(priority, request));
        }
        sendAllowed();
    }

    private void shedIfStillQueued(RequestPriority priority, StoreRequest request) {
        if (!request.isSent() && scheduler.remove(priority, request, request.changeCount())) {
            shed(request);
        }
    }

    private void shed(StoreRequest request) {
        shedCount++;
        loop.execute(() -> request.callback().onResponse(HttpTransport.NOT_SENT, EMPTY_BODY));
    }

    /** Sends a request immediately, without queueing and without counting it as in flight. */
    void sendUnqueued(StoreRequest request) {
        request.send(
                transport,
                address,
                (status, body) -> {
                    recordAnswer(status, 0);
                    request.callback().onResponse(status, body);
                });
    }

    /**
     * Sends the queued requests that the rates and in-flight limits allow now, and sets a timer for
     * the rest.
     */
    private void sendAllowed() {
        long now = loop.nowMicros();
        boolean isFull = isFull(now, 0);
        while (!isFull
                || (scheduler.hasControlRequests()
                        && !isFull(now, StoreRequestPolicy.EXTRA_CONTROL_IN_FLIGHT))) {
            updateRates(now);
            RequestScheduler.Decision<StoreRequest> decision =
                    scheduler.next(now, isFull, heldUntilMicros - now);
            if (decision.request() == null) {
                if (decision.waitMicros() < RequestScheduler.NO_WAITING_REQUEST) {
                    wakeAfter(decision.waitMicros());
                }
                return;
            }
            send(decision.request());
            isFull = isFull(now, 0);
        }
    }

    private boolean isFull(long nowMicros, int extraSlots) {
        return inFlight.size() >= StoreRequestPolicy.MAX_IN_FLIGHT + extraSlots
                || inFlight.expectedAnswerCount(nowMicros)
                        >= StoreRequestPolicy.MAX_EXPECTED_ANSWERS + extraSlots;
    }

    private void wakeAfter(long delayMicros) {
        long atMicros = loop.nowMicros() + delayMicros;
        if (atMicros >= nextWakeMicros) {
            return;
        }
        nextWakeMicros = atMicros;
        loop.schedule(
                delayMicros,
                () -> {
                    if (nextWakeMicros == atMicros) {
                        nextWakeMicros = NEVER;
                    }
                    sendAllowed();
                });
    }

    private void send(StoreRequest request) {
        InFlightRequests.SentRequest sent = inFlight.add(loop.nowMicros());
        if (request.onOverdue() != null) {
            loop.schedule(
                    StoreRequestPolicy.OVERDUE_MICROS,
                    () -> {
                        if (!sent.isAnswered()) {
                            request.onOverdue().run();
                        }
                    });
        }
        request.send(transport, address, (status, body) -> onAnswer(request, sent, status, body));
    }

    private void onAnswer(
            StoreRequest request, InFlightRequests.SentRequest sent, int status, byte[] body) {
        boolean isSingleLoss = status == HttpTransport.NO_RESPONSE && inFlight.isOvertaken(sent);
        inFlight.onAnswered(sent, StoreProtocol.isHttpStatus(status));
        if (isSingleLoss) {
            failureCount++;
        } else {
            recordAnswer(status, request.changeCount());
        }
        request.callback().onResponse(status, body);
        sendAllowed();
    }

    /** Updates the view of the store's health from an answer or a missing answer. */
    private void recordAnswer(int status, int changeCount) {
        boolean isFailure = StoreProtocol.isFailure(status);
        if (isFailure) {
            failureCount++;
        }
        boolean isAnswer = StoreProtocol.isHttpStatus(status);
        boolean isUnavailable = status == StoreProtocol.UNAVAILABLE;
        healthListener.onAnswer(isAnswer && !isUnavailable);
        if (isAnswer) {
            isRefusing = isUnavailable;
        }
        if (status == StoreProtocol.TOO_MANY_REQUESTS) {
            rateRefusalCount++;
            limits.onRateExceeded(loop.nowMicros(), changeCount);
        }
        if (isFailure) {
            heldUntilMicros =
                    loop.nowMicros()
                            + StoreRequestPolicy.MIN_HOLD_MICROS
                            + random.nextInt(StoreRequestPolicy.HOLD_JITTER_MICROS);
        }
    }
}
