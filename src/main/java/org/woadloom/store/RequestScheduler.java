package org.woadloom.store;

import java.util.ArrayDeque;
import java.util.function.Predicate;

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
    /**
     * Control's reserve, as a part of one second's worth; an election writes two keys and a node's
     * word two.
     */
    private static final double RESERVE = 0.1;

    private static final int MIN_RESERVE = 4;

    /**
     * By how many seconds of the whole rate users may run ahead of their share: about what a user
     * takes for no wait.
     */
    private static final double USER_BURST_SECONDS = 0.5;

    private static final int MIN_USER_BURST = 4;

    /**
     * Bound of each queue, for faults that ask without end. What users ask has deadlines, so their
     * queues stay far shorter; the leader's records for 12,000 jobs are at most 1,000 transactions
     * at 12 changes each. A read takes some 200 bytes of heap.
     */
    private static final int MAX_QUEUED = 8_000;

    private final TokenBucket requests = new TokenBucket(1);
    private final TokenBucket changes = new TokenBucket(1);
    private double requestsPerSecond;
    private double changesPerSecond;
    private final ArrayDeque<Queued<T>> control = new ArrayDeque<>();
    private final WeightedQueues<T> waitingReads = new WeightedQueues<>();
    private final WeightedQueues<T> waitingChanges = new WeightedQueues<>();
    private boolean lastWasChange;

    private record Queued<T>(T request, int changeCount) {}

    /**
     * Either a request to be sent now, or how long to wait; {@link Long#MAX_VALUE} where nothing
     * waits.
     */
    record Turn<T>(T request, long waitMicros) {}

    /** Sets this node's part of the store's rates. */
    void rates(long now, double requestRate, double changeRate) {
        requestsPerSecond = requestRate;
        changesPerSecond = changeRate;
        requests.setRate(now, requestRate);
        changes.setRate(now, changeRate);
    }

    /** False if too much waits already. */
    boolean add(StoreClient.RequestPriority priority, T request, int changeCount) {
        if (priority == StoreClient.RequestPriority.CONTROL) {
            return control.size() < MAX_QUEUED && control.add(new Queued<>(request, changeCount));
        }
        WeightedQueues<T> queues = changeCount > 0 ? waitingChanges : waitingReads;
        if (queues.size(priority.share()) >= MAX_QUEUED) {
            return false;
        }
        queues.add(priority.share(), request, changeCount, priority.isPreferred());
        return true;
    }

    /** Takes out a request that is not to be sent any more; false if it was taken already. */
    boolean remove(StoreClient.RequestPriority priority, T request, int changeCount) {
        WeightedQueues<T> queues = changeCount > 0 ? waitingChanges : waitingReads;
        return queues.remove(priority.share(), request, priority.isPreferred());
    }

    /**
     * For how long a request that comes now would wait, as far as the rates and the queue before it
     * tell.
     */
    long estimatedWaitMicros(long now, StoreClient.RequestPriority priority, int changeCount) {
        boolean change = changeCount > 0;
        WeightedQueues<T> queues = change ? waitingChanges : waitingReads;
        double perSecond =
                (change ? changesPerSecond : requestsPerSecond) * queues.partOf(priority.share());
        double before = queues.costBefore(priority.share(), priority.isPreferred());
        long ownWait = change ? changes.waitMicros(now, changeCount) : requests.waitMicros(now, 1);
        return ownWait + (long) (before / perSecond * 1e6);
    }

    boolean controlWaits() {
        return !control.isEmpty();
    }

    /**
     * Takes the request that is to be sent now, if there is one.
     *
     * @param onlyControl no place is left for any other request
     * @param heldMicros how long what is not urgent is held back
     */
    Turn<T> next(long now, boolean onlyControl, long heldMicros) {
        long wait = Long.MAX_VALUE;
        if (!control.isEmpty()) {
            wait = controlWait(now, control.peekFirst());
            if (wait <= 0) {
                Queued<T> first = control.pollFirst();
                return taken(now, first.request(), first.changeCount());
            }
        }
        if (onlyControl) {
            return new Turn<>(null, wait);
        }
        return nextOfShares(now, heldMicros, wait);
    }

    private Turn<T> nextOfShares(long now, long heldMicros, long waitOfControl) {
        long requestWait = requests.waitMicros(now, 1);
        Predicate<RateShare> allowed =
                share -> heldMicros <= 0 || share == RateShare.USERS || share == RateShare.URGENT;
        RateShare change = waitingChanges.next(allowed, burst(changesPerSecond));
        RateShare read = waitingReads.next(allowed, burst(requestsPerSecond));
        long changeWait =
                change == null
                        ? Long.MAX_VALUE
                        : Math.max(
                                requestWait,
                                changes.waitMicros(now, waitingChanges.costOfFirst(change)));
        long readWait = read == null ? Long.MAX_VALUE : requestWait;
        if (changeWait <= 0 && (readWait > 0 || changeFirst(change, read))) {
            lastWasChange = true;
            int changeCount = waitingChanges.costOfFirst(change);
            return taken(now, waitingChanges.take(change), changeCount);
        }
        if (readWait <= 0) {
            lastWasChange = false;
            return taken(now, waitingReads.take(read), 0);
        }
        long heldWait =
                heldMicros > 0 && anyHeld() ? Math.max(heldMicros, requestWait) : Long.MAX_VALUE;
        return new Turn<>(
                null, Math.min(Math.min(changeWait, readWait), Math.min(heldWait, waitOfControl)));
    }

    /** Users first; otherwise in turns, so that neither uses up the rate of requests. */
    private boolean changeFirst(RateShare change, RateShare read) {
        boolean userChange = change == RateShare.USERS;
        boolean userRead = read == RateShare.USERS;
        return userChange != userRead ? userChange : !lastWasChange;
    }

    private boolean anyHeld() {
        return holdsAny(RateShare.NORMAL) || holdsAny(RateShare.BACKGROUND);
    }

    private boolean holdsAny(RateShare share) {
        return !waitingReads.isEmpty(share) || !waitingChanges.isEmpty(share);
    }

    private static double burst(double perSecond) {
        return Math.max(MIN_USER_BURST, perSecond * USER_BURST_SECONDS);
    }

    private long controlWait(long now, Queued<T> queued) {
        long requestWait = requests.waitMicros(now, 1, reserve(requestsPerSecond));
        long changeWait =
                queued.changeCount() == 0
                        ? 0
                        : changes.waitMicros(now, queued.changeCount(), reserve(changesPerSecond));
        return Math.max(requestWait, changeWait);
    }

    private static double reserve(double perSecond) {
        return Math.max(MIN_RESERVE, perSecond * RESERVE);
    }

    private Turn<T> taken(long now, T request, int changeCount) {
        requests.take(now, 1);
        changes.take(now, changeCount);
        return new Turn<>(request, 0);
    }
}
