package org.woadloom.store;

import java.util.Random;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.store.StoreClient.HealthListener;
import org.woadloom.store.StoreClient.RequestPriority;

/**
 * The requests of this node that wait for the store or its answer. {@link RequestScheduler} says
 * which is sent next, under rates that stay below the store's limits; after a 429 or 503, or no
 * answer, everything but the most urgent is held back for a moment, with jitter.
 *
 * <p>Single answers get lost while the store goes on serving. A request that later ones have
 * overtaken holds up nobody, and says nothing about the store.
 */
final class StoreRequestQueue {
    private static final long NEVER = Long.MAX_VALUE;
    private static final byte[] EMPTY_BODY = new byte[0];

    private final EventLoop loop;
    private final HttpTransport transport;
    private final String address;
    private final StoreLimits limits;
    private final int otherNodes;
    private final Random random;
    private final HealthListener health;
    private final RequestScheduler<StoreRequest> scheduler = new RequestScheduler<>();
    private final InFlightRequests inFlight = new InFlightRequests();
    private boolean isLeader;
    private long heldUntilMicros;

    /** When the next timer runs that sends what has waited for its rate. */
    private long wakeMicros = NEVER;

    private long failureCount;
    private long shedCount;
    private boolean isRefusing;

    /**
     * @param otherNodes among how many nodes the followers' part of the store's limits is divided
     */
    StoreRequestQueue(
            EventLoop loop,
            HttpTransport transport,
            String address,
            StoreLimits limits,
            int otherNodes,
            Random random,
            HealthListener health) {
        this.loop = loop;
        this.transport = transport;
        this.address = address;
        this.limits = limits;
        this.otherNodes = otherNodes;
        this.random = random;
        this.health = health;
    }

    /** Sets this node's part of the store's limits. */
    void setLeader(boolean isLeader) {
        this.isLeader = isLeader;
        updateRates(loop.nowMicros());
    }

    /** How many changes a second this node may make now. */
    double writesPerSecond() {
        double part =
                isLeader
                        ? StoreRequestPolicy.LEADER_WRITE_PART
                        : StoreRequestPolicy.FOLLOWERS_WRITE_PART / otherNodes;
        return limits.writeRate(loop.nowMicros()) * part;
    }

    private void updateRates(long nowMicros) {
        double part =
                isLeader
                        ? StoreRequestPolicy.LEADER_REQUEST_PART
                        : StoreRequestPolicy.FOLLOWERS_REQUEST_PART / otherNodes;
        scheduler.setRates(nowMicros, limits.requestRate(nowMicros) * part, writesPerSecond());
    }

    /** Answers of the kind 429 or 503, or none at all. */
    long failureCount() {
        return failureCount;
    }

    /** Requests that were not sent as they would have come too late, or as too many waited. */
    long shed() {
        return shedCount;
    }

    int queuedCount(RateShare share) {
        return scheduler.queued(share);
    }

    long longestQueuedMicros(RateShare share) {
        long now = loop.nowMicros();
        return scheduler
                .firstOf(share)
                .mapToLong(request -> now - request.queuedMicros())
                .max()
                .orElse(0);
    }

    /** True if the last answer was that the store does not serve. */
    boolean isRefusing() {
        return isRefusing;
    }

    /**
     * Queues a request, or sheds it: then its callback gets {@link HttpTransport#NOT_SENT}, not
     * before this method has returned.
     *
     * @param deadlineMicros it is not sent any more after this moment, and not queued if it can't
     *     be sent by then
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

    /** Sends a request at once, whatever waits, and without a place among those in flight. */
    void sendUnqueued(StoreRequest request) {
        request.send(
                transport,
                address,
                (status, body) -> {
                    recordAnswer(status, 0);
                    request.callback().onResponse(status, body);
                });
    }

    /** Sends what rates and places in flight allow now, and sets a timer for the rest. */
    private void sendAllowed() {
        long now = loop.nowMicros();
        boolean isFull = isFull(now, 0);
        while (!isFull
                || (scheduler.hasControlRequests()
                        && !isFull(now, StoreRequestPolicy.CONTROL_IN_FLIGHT))) {
            updateRates(now);
            RequestScheduler.Turn<StoreRequest> turn =
                    scheduler.next(now, isFull, heldUntilMicros - now);
            if (turn.request() == null) {
                if (turn.waitMicros() < RequestScheduler.NOTHING_WAITS) {
                    wakeAfter(turn.waitMicros());
                }
                return;
            }
            send(turn.request());
            isFull = isFull(now, 0);
        }
    }

    private boolean isFull(long nowMicros, int extraPlaces) {
        return inFlight.size() >= StoreRequestPolicy.MAX_IN_FLIGHT + extraPlaces
                || inFlight.awaitedCount(nowMicros) >= StoreRequestPolicy.MAX_AWAITED + extraPlaces;
    }

    private void wakeAfter(long delayMicros) {
        long atMicros = loop.nowMicros() + delayMicros;
        if (atMicros >= wakeMicros) {
            return;
        }
        wakeMicros = atMicros;
        loop.schedule(
                delayMicros,
                () -> {
                    if (wakeMicros == atMicros) {
                        wakeMicros = NEVER;
                    }
                    sendAllowed();
                });
    }

    private void send(StoreRequest request) {
        InFlightRequests.Sent sent = inFlight.add(loop.nowMicros());
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
            StoreRequest request, InFlightRequests.Sent sent, int status, byte[] body) {
        boolean isLostAlone = status == HttpTransport.NO_RESPONSE && inFlight.isOvertaken(sent);
        inFlight.onAnswered(sent, StoreProtocol.isAnswer(status));
        if (isLostAlone) {
            failureCount++;
        } else {
            recordAnswer(status, request.changeCount());
        }
        request.callback().onResponse(status, body);
        sendAllowed();
    }

    /** Takes from an answer, or from its absence, what it says about the store. */
    private void recordAnswer(int status, int changeCount) {
        boolean isFailure = StoreProtocol.isFailure(status);
        if (isFailure) {
            failureCount++;
        }
        boolean isAnswer = StoreProtocol.isAnswer(status);
        boolean isUnavailable = status == StoreProtocol.UNAVAILABLE;
        health.onAnswer(isAnswer && !isUnavailable);
        if (isAnswer) {
            isRefusing = isUnavailable;
        }
        if (status == StoreProtocol.TOO_MANY_REQUESTS) {
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
