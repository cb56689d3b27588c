package org.woadloom.store;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Queues that divide a rate by their weights (start-time fair queueing): taking something moves a
 * queue's virtual time on by the cost divided by the weight, and the queue that is furthest behind
 * is next. Users may run ahead of their share by a burst, so that a few of their requests wait for
 * nothing else; a lasting backlog of theirs gets its share and no more.
 */
final class WeightedQueues<T> {
    private final Map<RateShare, Queue<T>> queues = new EnumMap<>(RateShare.class);
    private final Map<RateShare, Double> virtualTimes = new EnumMap<>(RateShare.class);

    private record Item<T>(T request, int cost) {}

    /**
     * One share's requests: the preferred ones before the others, and each in the order in which
     * they came.
     */
    private static final class Queue<T> {
        final ArrayDeque<Item<T>> preferred = new ArrayDeque<>();
        final ArrayDeque<Item<T>> ordinary = new ArrayDeque<>();
        long preferredCost;
        long ordinaryCost;

        boolean isEmpty() {
            return preferred.isEmpty() && ordinary.isEmpty();
        }

        int size() {
            return preferred.size() + ordinary.size();
        }

        void add(Item<T> item, boolean isPreferred) {
            (isPreferred ? preferred : ordinary).addLast(item);
            count(item, isPreferred, 1);
        }

        private void count(Item<T> item, boolean isPreferred, int sign) {
            if (isPreferred) {
                preferredCost += (long) sign * item.cost();
            } else {
                ordinaryCost += (long) sign * item.cost();
            }
        }

        Item<T> first() {
            return preferred.isEmpty() ? ordinary.peekFirst() : preferred.peekFirst();
        }

        Item<T> takeFirst() {
            boolean isPreferred = !preferred.isEmpty();
            Item<T> item = isPreferred ? preferred.pollFirst() : ordinary.pollFirst();
            count(item, isPreferred, -1);
            return item;
        }

        boolean remove(T request, boolean isPreferred) {
            return (isPreferred ? preferred : ordinary)
                    .removeIf(
                            item -> {
                                boolean same = item.request() == request;
                                if (same) {
                                    count(item, isPreferred, -1);
                                }
                                return same;
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
     * @param isPreferred goes before those of its share that are not
     */
    void add(RateShare share, T request, int cost, boolean isPreferred) {
        if (queues.get(share).isEmpty()) {
            joinAgain(share);
        }
        queues.get(share).add(new Item<>(request, Math.max(1, cost)), isPreferred);
    }

    /** Takes out what is not to be sent any more; false if it is not here. */
    boolean remove(RateShare share, T request, boolean isPreferred) {
        return queues.get(share).remove(request, isPreferred);
    }

    /** The cost of what a request that comes now would wait for in its own queue. */
    long costBefore(RateShare share, boolean isPreferred) {
        Queue<T> queue = queues.get(share);
        return queue.preferredCost + (isPreferred ? 0 : queue.ordinaryCost);
    }

    /** The part of the rate that a share gets while it and all that wait now do. */
    double partOf(RateShare asked) {
        int sum = 0;
        for (RateShare share : RateShare.values()) {
            sum += share == asked || !queues.get(share).isEmpty() ? share.weight() : 0;
        }
        return (double) asked.weight() / sum;
    }

    /** Whoever asked for nothing has saved up nothing. */
    private void joinAgain(RateShare joining) {
        double furthestBehind = Double.MAX_VALUE;
        for (RateShare share : RateShare.values()) {
            if (!queues.get(share).isEmpty()) {
                furthestBehind = Math.min(furthestBehind, virtualTimes.get(share));
            }
        }
        if (furthestBehind == Double.MAX_VALUE) {
            virtualTimes.replaceAll((share, time) -> 0.0);
        } else {
            virtualTimes.merge(joining, furthestBehind, Math::max);
        }
    }

    /**
     * The share whose turn it is among the allowed ones that have something waiting, or null.
     *
     * @param userBurst the cost by which users may run ahead of their share
     */
    RateShare next(Predicate<RateShare> allowed, double userBurst) {
        RateShare next = null;
        for (RateShare share : RateShare.values()) {
            boolean waits = !queues.get(share).isEmpty() && allowed.test(share);
            if (waits && (next == null || startOf(share, userBurst) < startOf(next, userBurst))) {
                next = share;
            }
        }
        return next;
    }

    private double startOf(RateShare share, double userBurst) {
        double ahead = share == RateShare.USERS ? userBurst / share.weight() : 0;
        return virtualTimes.get(share) - ahead;
    }

    /** What the first request of a share costs. */
    int costOfFirst(RateShare share) {
        return queues.get(share).first().cost();
    }

    T take(RateShare share) {
        Item<T> item = queues.get(share).takeFirst();
        virtualTimes.merge(share, (double) item.cost() / share.weight(), Double::sum);
        return item.request();
    }

    boolean isEmpty(RateShare share) {
        return queues.get(share).isEmpty();
    }

    int size(RateShare share) {
        return queues.get(share).size();
    }
}
