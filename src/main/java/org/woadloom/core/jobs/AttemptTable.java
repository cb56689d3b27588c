package org.woadloom.core.jobs;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.agrona.collections.Int2ObjectHashMap;

/** The current attempts of one job, indexed by task and counted by zone. A task has at most one. */
final class AttemptTable {
    private final Int2ObjectHashMap<TaskAttempt> byTask = new Int2ObjectHashMap<>();
    private final Map<String, Integer> countByZone = new LinkedHashMap<>();

    boolean isEmpty() {
        return byTask.isEmpty();
    }

    Collection<TaskAttempt> all() {
        return byTask.values();
    }

    /** Returns the current attempt of a task, or null if it has none. */
    TaskAttempt get(int index) {
        return byTask.get(index);
    }

    void add(TaskAttempt attempt) {
        byTask.put(attempt.taskIndex, attempt);
        countByZone.merge(attempt.machine.zone, 1, Integer::sum);
    }

    /** Removes an attempt; returns false if it is not the current attempt of its task. */
    boolean remove(TaskAttempt attempt) {
        if (byTask.get(attempt.taskIndex) != attempt) {
            return false;
        }
        byTask.remove(attempt.taskIndex);
        countByZone.computeIfPresent(
                attempt.machine.zone, (zone, count) -> count == 1 ? null : count - 1);
        return true;
    }

    int countInZone(String zone) {
        return countByZone.getOrDefault(zone, 0);
    }

    /** Number of attempts in each zone that has any; an unmodifiable view. */
    Map<String, Integer> countByZone() {
        return Collections.unmodifiableMap(countByZone);
    }
}
