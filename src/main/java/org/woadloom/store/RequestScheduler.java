package org.woadloom.store;

import java.util.ArrayDeque;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Chooses the next request to send to the store, within this node's part of the store's two rate
 * limits: requests per second and changes per second.
 *
 * <p>Control requests (elections, renewals of the leader's key, leadership checks) are sent first.
 * They are few and may overdraw each rate by a reserve that no other request may use; the other
 * requests then wait until the overdraft is repaid. Without this, a backlog of user requests would
 * let the leader's key expire and block the election of a new leader until the backlog had drained.
 *
 * <p>All other requests get the weighted shares of {@link RateShare}. A change that waits for its
 * rate also holds back later changes, so that small changes cannot starve a large one. It does not
 * hold back reads.
 */
final class RequestScheduler<T> {
    /** Wait time returned when no queued request waits for a rate. */
    static final long NO_WAITING_REQUEST = Long.MAX_VALUE;

    private static final double MICROS_PER_SECOND = 1e6;

    /** Reserve of control requests, as seconds' worth of the whole rate. */
    private static final double CONTROL_RESERVE_SECONDS = 0.1;

    /** Minimum reserve: an election writes two keys, and so does a node announcement. */
    private static final int MIN_CONTROL_RESERVE = 4;

    /**
     * How far user requests may run ahead of their share, as seconds' worth of the whole rate. A
     * user hardly notices a delay of this length.
     */
    private static final double USER_BURST_SECONDS = 0.5;

    private static final int MIN_USER_BURST = 4;

    /** Maximum length of each queue; bounds memory if a bug produces requests without limit. */
    private static final int MAX_QUEUED = 8_000;

    private final TokenBucket requests = new TokenBucket(1);
    private final TokenBucket changes = new TokenBucket(1);
    private double requestsPerSecond;
    private double changesPerSecond;
    private final ArrayDeque<Queued<T>> control = new ArrayDeque<>();
    private final WeightedQueues<T> waitingReads = new WeightedQueues<>();
    private final WeightedQueues<T> waitingChanges = new WeightedQueues<>();

    /** Whether the last request taken from a share was a change. */
    private boolean lastWasChange;

    private record Queued<T>(T request, int changeCount) {}

    /**
     * Next step: a request to send now, or null together with the time to wait, which is {@link
     * #NO_WAITING_REQUEST} if no request waits for a rate.
     */
    record Decision<T>(T request, long waitMicros) {}

    /** Sets this node's part of the store's rate limits. */
    void setRates(long now, double requestsPerSecond, double changesPerSecond) {
        this.requestsPerSecond = requestsPerSecond;
        this.changesPerSecond = changesPerSecond;
        requests.setRate(now, requestsPerSecond);
        changes.setRate(now, changesPerSecond);
    }

    /**
     * Queues a request. Returns false if the queue is full.
     *
     * @param changeCount number of changes in the request, 0 for a read
     */
    boolean add(StoreClient.RequestPriority priority, T request, int changeCount) {
        if (priority == StoreClient.RequestPriority.CONTROL) {
            return control.size() < MAX_QUEUED && control.add(new Queued<>(request, changeCount));
        }
        WeightedQueues<T> queues = queuesFor(changeCount);
        if (queues.size(priority.share()) >= MAX_QUEUED) {
            return false;
        }
        queues.add(priority.share(), request, changeCount, priority.isPreferred());
        return true;
    }

    private WeightedQueues<T> queuesFor(int changeCount) {
        return changeCount > 0 ? waitingChanges : waitingReads;
    }

    /**
     * Removes a queued request that must no longer be sent. Returns false if it has already been
     * taken. Control requests cannot be removed.
     */
    boolean remove(StoreClient.RequestPriority priority, T request, int changeCount) {
        return queuesFor(changeCount).remove(priority.share(), request, priority.isPreferred());
    }

    /**
     * Estimates how long a request submitted now would wait, from the current rates and the queue
     * in front of it. Not for control requests.
     */
    long estimatedWaitMicros(long now, StoreClient.RequestPriority priority, int changeCount) {
        boolean isChange = changeCount > 0;
        WeightedQueues<T> queues = queuesFor(changeCount);
        double perSecond =
                (isChange ? changesPerSecond : requestsPerSecond)
                        * queues.rateFraction(priority.share());
        double costAhead = queues.costAhead(priority.share(), priority.isPreferred());
        long ownWait =
                isChange ? changes.waitMicros(now, changeCount) : requests.waitMicros(now, 1);
        return ownWait + (long) (costAhead / perSecond * MICROS_PER_SECOND);
    }

    /** Returns the number of queued requests of the share. */
    int queuedCount(RateShare share) {
        return waitingReads.size(share) + waitingChanges.size(share);
    }

    /** Returns the oldest request of each queue of the share. */
    Stream<T> oldestOf(RateShare share) {
        return Stream.concat(waitingReads.oldestOf(share), waitingChanges.oldestOf(share));
    }

    boolean hasControlRequests() {
        return !control.isEmpty();
    }

    /**
     * Takes the request to send now, if there is one.
     *
     * @param controlOnly true if only control requests may be sent because all other slots are in
     *     use
     * @param heldMicros how much longer normal and background requests are held back; 0 or less if
     *     they are not
     */
    Decision<T> next(long now, boolean controlOnly, long heldMicros) {
        long wait = NO_WAITING_REQUEST;
        if (!control.isEmpty()) {
            wait = controlWait(now, control.peekFirst());
            if (wait <= 0) {
                Queued<T> first = control.pollFirst();
                return take(now, first.request(), first.changeCount());
            }
        }
        if (controlOnly) {
            return new Decision<>(null, wait);
        }
        return nextOfShares(now, heldMicros, wait);
    }

    private Decision<T> nextOfShares(long now, long heldMicros, long controlWait) {
        boolean isHolding = heldMicros > 0;
        long requestWait = requests.waitMicros(now, 1);
        Predicate<RateShare> allowed = share -> !isHolding || !share.isHeldAfterRefusal();
        RateShare change = waitingChanges.nextShare(allowed, userBurst(changesPerSecond));
        RateShare read = waitingReads.nextShare(allowed, userBurst(requestsPerSecond));
        long changeWait =
                change == null ? NO_WAITING_REQUEST : changeWait(now, change, requestWait);
        long readWait = read == null ? NO_WAITING_REQUEST : requestWait;
        if (changeWait <= 0 && (readWait > 0 || isChangeNext(change, read))) {
            lastWasChange = true;
            int changeCount = waitingChanges.costOfFirst(change);
            return take(now, waitingChanges.take(change), changeCount);
        }
        if (readWait <= 0) {
            lastWasChange = false;
            return take(now, waitingReads.take(read), 0);
        }
        long heldWait =
                isHolding && hasHeldRequests()
                        ? Math.max(heldMicros, requestWait)
                        : NO_WAITING_REQUEST;
        long wait = Math.min(Math.min(changeWait, readWait), Math.min(heldWait, controlWait));
        return new Decision<>(null, wait);
    }

    private long changeWait(long now, RateShare share, long requestWait) {
        return Math.max(requestWait, changes.waitMicros(now, waitingChanges.costOfFirst(share)));
    }

    /**
     * User requests go first. Otherwise changes and reads alternate, so that neither uses up the
     * request rate.
     */
    private boolean isChangeNext(RateShare change, RateShare read) {
        boolean isUserChange = change == RateShare.USERS;
        boolean isUserRead = read == RateShare.USERS;
        return isUserChange != isUserRead ? isUserChange : !lastWasChange;
    }

    private boolean hasHeldRequests() {
        return hasHeldRequests(RateShare.NORMAL) || hasHeldRequests(RateShare.BACKGROUND);
    }

    private boolean hasHeldRequests(RateShare share) {
        return !waitingReads.isEmpty(share) || !waitingChanges.isEmpty(share);
    }

    private static double userBurst(double perSecond) {
        return Math.max(MIN_USER_BURST, perSecond * USER_BURST_SECONDS);
    }

    private long controlWait(long now, Queued<T> queued) {
        long requestWait = requests.waitMicros(now, 1, controlReserve(requestsPerSecond));
        long changeWait =
                queued.changeCount() == 0
                        ? 0
                        : changes.waitMicros(
                                now, queued.changeCount(), controlReserve(changesPerSecond));
        return Math.max(requestWait, changeWait);
    }

    private static double controlReserve(double perSecond) {
        return Math.max(MIN_CONTROL_RESERVE, perSecond * CONTROL_RESERVE_SECONDS);
    }

    private Decision<T> take(long now, T request, int changeCount) {
        requests.take(now, 1);
        changes.take(now, changeCount);
        return new Decision<>(request, 0);
    }
}
