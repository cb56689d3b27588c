package org.woadloom.store;

import java.util.ArrayDeque;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Decides which request to the store is sent next, under a node's part of the store's two rates: of
 * requests, and of changes.
 *
 * <p>Control requests (elections, renewals of the leader's key, proofs of leadership) go first.
 * They are few, and may run into a reserve of each rate that nobody else touches; the others make
 * up for it later. Behind a backlog of users the leader's key would expire, and nobody could be
 * elected before the backlog was gone.
 *
 * <p>Everybody else gets the shares of {@link RateShare}. A change that waits for its rate holds
 * back other changes, so that a large one is not overtaken for ever, but no reads.
 */
final class RequestScheduler<T> {
    /** Stands for a wait without end, as there is nothing to be sent. */
    static final long NO_WAITING_REQUEST = Long.MAX_VALUE;

    private static final double MICROS_PER_SECOND = 1e6;

    /** The reserve of control requests, in seconds of the whole rate. */
    private static final double CONTROL_RESERVE_SECONDS = 0.1;

    /** An election writes two keys, and a node's announcement two. */
    private static final int MIN_CONTROL_RESERVE = 4;

    /**
     * By how many seconds of the whole rate users may run ahead of their share: a wait that a user
     * hardly notices.
     */
    private static final double USER_BURST_SECONDS = 0.5;

    private static final int MIN_USER_BURST = 4;

    /** Requests in each queue, in case a fault makes them without end. */
    private static final int MAX_QUEUED = 8_000;

    private final TokenBucket requests = new TokenBucket(1);
    private final TokenBucket changes = new TokenBucket(1);
    private double requestsPerSecond;
    private double changesPerSecond;
    private final ArrayDeque<Queued<T>> control = new ArrayDeque<>();
    private final WeightedQueues<T> waitingReads = new WeightedQueues<>();
    private final WeightedQueues<T> waitingChanges = new WeightedQueues<>();

    /** Whether the last request that was taken from a share was a change. */
    private boolean lastWasChange;

    private record Queued<T>(T request, int changeCount) {}

    /**
     * Either a request to be sent now, or null and how long to wait, {@link #NOTHING_WAITS} where
     * no request waits for a rate.
     */
    record Decision<T>(T request, long waitMicros) {}

    /** Sets this node's part of the store's rates. */
    void setRates(long now, double requestsPerSecond, double changesPerSecond) {
        this.requestsPerSecond = requestsPerSecond;
        this.changesPerSecond = changesPerSecond;
        requests.setRate(now, requestsPerSecond);
        changes.setRate(now, changesPerSecond);
    }

    /**
     * Queues a request; false if too many wait already.
     *
     * @param changeCount how many changes it makes, 0 for a read
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
     * Removes a request, not a control one, that is not to be sent any more; false if it was taken
     * already.
     */
    boolean remove(StoreClient.RequestPriority priority, T request, int changeCount) {
        return queuesFor(changeCount).remove(priority.share(), request, priority.isPreferred());
    }

    /**
     * For how long a request, not a control one, that comes now would wait, going by the rates and
     * the queue before it.
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

    /** How many requests of the share wait. */
    int queuedCount(RateShare share) {
        return waitingReads.size(share) + waitingChanges.size(share);
    }

    /** The request of each of the share's queues that has waited for longest. */
    Stream<T> oldestOf(RateShare share) {
        return Stream.concat(waitingReads.oldestOf(share), waitingChanges.oldestOf(share));
    }

    boolean hasControlRequests() {
        return !control.isEmpty();
    }

    /**
     * Takes the request that is to be sent now, if there is one.
     *
     * @param controlOnly no place is left for any other request
     * @param heldMicros how long normal and background requests are held back; not positive where
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

    /** Users first; otherwise in turns, so that neither uses up the rate of requests. */
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
