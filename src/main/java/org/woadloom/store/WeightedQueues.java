package org.woadloom.store;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Queues that divide a rate by the weights of {@link RateShare}, using start-time fair queueing:
 * taking a request advances the virtual time of its queue by the cost divided by the weight, and
 * the queue with the lowest virtual time is served next. User requests may run ahead of their share
 * by a burst, so that a few of them are sent without waiting for other shares; a lasting backlog of
 * user requests gets its share and no more.
 */
final class WeightedQueues<T> {
    private final Map<RateShare, Queue<T>> queues = new EnumMap<>(RateShare.class);
    private final Map<RateShare, Double> virtualTimes = new EnumMap<>(RateShare.class);

    private record Item<T>(T request, int cost) {}

    /**
     * The requests of one share. Preferred requests come before the others; each group is first in,
     * first out.
     */
    private static final class Queue<T> {
        private final ArrayDeque<Item<T>> preferred = new ArrayDeque<>();
        private final ArrayDeque<Item<T>> ordinary = new ArrayDeque<>();
        private long preferredCost;
        private long ordinaryCost;

        boolean isEmpty() {
            return preferred.isEmpty() && ordinary.isEmpty();
        }

        int size() {
            return preferred.size() + ordinary.size();
        }

        void add(Item<T> item, boolean isPreferred) {
            (isPreferred ? preferred : ordinary).addLast(item);
            addCost(item.cost(), isPreferred);
        }

        private void addCost(int cost, boolean isPreferred) {
            if (isPreferred) {
                preferredCost += cost;
            } else {
                ordinaryCost += cost;
            }
        }

        Item<T> first() {
            return preferred.isEmpty() ? ordinary.peekFirst() : preferred.peekFirst();
        }

        Item<T> takeFirst() {
            boolean isPreferred = !preferred.isEmpty();
            Item<T> item = isPreferred ? preferred.pollFirst() : ordinary.pollFirst();
            addCost(-item.cost(), isPreferred);
            return item;
        }

        boolean remove(T request, boolean isPreferred) {
            return (isPreferred ? preferred : ordinary)
                    .removeIf(
                            item -> {
                                boolean isSame = item.request() == request;
                                if (isSame) {
                                    addCost(-item.cost(), isPreferred);
                                }
                                return isSame;
                            });
        }
    }

    WeightedQueues() {
        for (RateShare share : RateShare.values()) {
            queues.put(share, new Queue<>());
            virtualTimes.put(share, 0.0);
        }
    }

    /**
     * Queues a request.
     *
     * @param isPreferred true if the request goes before the non-preferred requests of its share
     */
    void add(RateShare share, T request, int cost, boolean isPreferred) {
        if (queues.get(share).isEmpty()) {
            activate(share);
        }
        queues.get(share).add(new Item<>(request, Math.max(1, cost)), isPreferred);
    }

    /** Removes a request. Returns false if it is not queued. */
    boolean remove(RateShare share, T request, boolean isPreferred) {
        return queues.get(share).remove(request, isPreferred);
    }

    /** Returns the total cost of the requests of the share that would be taken before a new one. */
    long costAhead(RateShare share, boolean isPreferred) {
        Queue<T> queue = queues.get(share);
        return queue.preferredCost + (isPreferred ? 0 : queue.ordinaryCost);
    }

    /**
     * Returns the fraction of the rate that a share gets while all currently non-empty shares
     * compete.
     */
    double rateFraction(RateShare share) {
        int totalWeight = share.weight();
        for (RateShare other : RateShare.values()) {
            if (other != share && !queues.get(other).isEmpty()) {
                totalWeight += other.weight();
            }
        }
        return (double) share.weight() / totalWeight;
    }

    /**
     * Activates a share whose queue was empty. Its virtual time is raised to the current minimum,
     * so that it earns no credit for the time without requests.
     */
    private void activate(RateShare activated) {
        double leastTime = Double.MAX_VALUE;
        for (RateShare share : RateShare.values()) {
            if (!queues.get(share).isEmpty()) {
                leastTime = Math.min(leastTime, virtualTimes.get(share));
            }
        }
        if (leastTime == Double.MAX_VALUE) {
            virtualTimes.replaceAll((share, time) -> 0.0);
        } else {
            virtualTimes.merge(activated, leastTime, Math::max);
        }
    }

    /**
     * Returns the share to serve next among the allowed shares with queued requests, or null.
     *
     * @param userBurst the cost by which user requests may run ahead of their share
     */
    RateShare nextShare(Predicate<RateShare> allowed, double userBurst) {
        RateShare next = null;
        for (RateShare share : RateShare.values()) {
            boolean isCandidate = !queues.get(share).isEmpty() && allowed.test(share);
            if (isCandidate
                    && (next == null || startTime(share, userBurst) < startTime(next, userBurst))) {
                next = share;
            }
        }
        return next;
    }

    private double startTime(RateShare share, double userBurst) {
        double allowance = share == RateShare.USERS ? userBurst / share.weight() : 0;
        return virtualTimes.get(share) - allowance;
    }

    /** Returns the cost of the share's first request. */
    int costOfFirst(RateShare share) {
        return queues.get(share).first().cost();
    }

    /** Removes the first request of a share and charges its cost to the share. */
    T take(RateShare share) {
        Item<T> item = queues.get(share).takeFirst();
        virtualTimes.merge(share, (double) item.cost() / share.weight(), Double::sum);
        return item.request();
    }

    /** Returns the oldest preferred and the oldest other request of the share. */
    Stream<T> oldestOf(RateShare share) {
        Queue<T> queue = queues.get(share);
        return Stream.of(queue.preferred, queue.ordinary)
                .filter(items -> !items.isEmpty())
                .map(items -> items.peekFirst().request());
    }

    boolean isEmpty(RateShare share) {
        return queues.get(share).isEmpty();
    }

    int size(RateShare share) {
        return queues.get(share).size();
    }
}
