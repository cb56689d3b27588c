package org.woadloom.reads;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.woadloom.net.EventLoop;

/**
 * Queries that wait until the page of stored keys that may contain theirs has been read, ordered by
 * key. A query that is still waiting at its deadline is removed and expires, so that no page is
 * read for a user who has given up.
 *
 * @param <Q> type of the queries
 */
final class WaitingQueries<Q extends WaitingQueries.Query> {
    private static final long EXPIRY_CHECK_MICROS = 100_000;

    /** A query that waits for a page. */
    interface Query {
        long deadlineMicros();

        /** Called if the query is still waiting at its deadline. */
        void expire();
    }

    private final EventLoop loop;
    private final TreeMap<String, List<Q>> queriesByKey = new TreeMap<>();
    private boolean isExpiryScheduled;

    WaitingQueries(EventLoop loop) {
        this.loop = loop;
    }

    void add(String key, Q query) {
        queriesByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(query);
        scheduleExpiry();
    }

    /** Returns the number of keys that queries wait for. */
    int keyCount() {
        return queriesByKey.size();
    }

    /** Returns the lowest key that a query waits for, or null if none waits. */
    String firstKey() {
        return queriesByKey.isEmpty() ? null : queriesByKey.firstKey();
    }

    /** Returns the lowest key after the given one that a query waits for, or null. */
    String firstKeyAfter(String key) {
        return queriesByKey.higherKey(key);
    }

    /** Removes and returns the queries for all keys. */
    List<Q> removeAll() {
        return remove(queriesByKey);
    }

    /** Removes and returns the queries for keys up to and including the given one. */
    List<Q> removeUpTo(String lastKey) {
        return remove(queriesByKey.headMap(lastKey, true));
    }

    /** Removes and returns the queries for keys after the given one. */
    List<Q> removeAfter(String key) {
        return remove(queriesByKey.tailMap(key, false));
    }

    /** Removes and returns the queries for keys after the first and up to the second one. */
    List<Q> removeBetween(String key, String lastKey) {
        return remove(queriesByKey.subMap(key, false, lastKey, true));
    }

    private List<Q> remove(Map<String, List<Q>> range) {
        List<Q> removed = range.values().stream().flatMap(List::stream).toList();
        range.clear();
        return removed;
    }

    private void scheduleExpiry() {
        if (!isExpiryScheduled && !queriesByKey.isEmpty()) {
            isExpiryScheduled = true;
            loop.schedule(
                    EXPIRY_CHECK_MICROS,
                    () -> {
                        isExpiryScheduled = false;
                        expireOverdue();
                        scheduleExpiry();
                    });
        }
    }

    private void expireOverdue() {
        long now = loop.nowMicros();
        List<Q> overdue = new ArrayList<>();
        for (List<Q> queries : queriesByKey.values()) {
            queries.removeIf(query -> now >= query.deadlineMicros() && overdue.add(query));
        }
        queriesByKey.values().removeIf(List::isEmpty);
        overdue.forEach(Query::expire);
    }
}
