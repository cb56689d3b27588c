package org.woadloom.state;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Queues that divide a rate by their weights (start-time fair queueing): taking something moves a queue's virtual time on by
 * the cost divided by the weight, and the queue that is furthest behind is next. Users may run ahead of their share by a
 * burst, so that a few of their requests wait for nothing else; a lasting backlog of theirs gets its share and no more.
 */
final class WeightedQueues<T> {
    private final Map<Share, ArrayDeque<Item<T>>> queues = new EnumMap<>(Share.class);
    private final Map<Share, Double> virtualTimes = new EnumMap<>(Share.class);

    private record Item<T>(T request, int cost) {
    }

    WeightedQueues() {
        for (Share share : Share.values()) {
            queues.put(share, new ArrayDeque<>());
            virtualTimes.put(share, 0.0);
        }
    }

    void add(Share share, T request, int cost) {
        if (queues.get(share).isEmpty()) {
            joinAgain(share);
        }
        queues.get(share).addLast(new Item<>(request, Math.max(1, cost)));
    }

    /** Whoever asked for nothing has saved up nothing. */
    private void joinAgain(Share joining) {
        double furthestBehind = Double.MAX_VALUE;
        for (Share share : Share.values()) {
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
    Share next(Predicate<Share> allowed, double userBurst) {
        Share next = null;
        for (Share share : Share.values()) {
            boolean waits = !queues.get(share).isEmpty() && allowed.test(share);
            if (waits && (next == null || startOf(share, userBurst) < startOf(next, userBurst))) {
                next = share;
            }
        }
        return next;
    }

    private double startOf(Share share, double userBurst) {
        double ahead = share == Share.USERS ? userBurst / share.weight() : 0;
        return virtualTimes.get(share) - ahead;
    }

    T peek(Share share) {
        return queues.get(share).peekFirst().request();
    }

    T take(Share share) {
        Item<T> item = queues.get(share).pollFirst();
        virtualTimes.merge(share, (double) item.cost() / share.weight(), Double::sum);
        return item.request();
    }

    boolean isEmpty(Share share) {
        return queues.get(share).isEmpty();
    }

    int size(Share share) {
        return queues.get(share).size();
    }
}
