package org.woadloom.core.jobs;

import java.util.BitSet;

/**
 * Tracks by index which tasks of a job are completed and which are assigned.
 *
 * <p>A task is assigned while an attempt of it exists, and for good once it is completed; every
 * other task is pending. The counts are stored, not computed, because each pass reads them for
 * every job.
 */
final class TaskSet {
    private final int size;
    private final BitSet completed;
    private final BitSet taken;
    private int completedCount;
    private int takenCount;

    /**
     * @param size number of tasks of the job
     * @param completed the tasks that are already completed; copied
     */
    TaskSet(int size, BitSet completed) {
        this.size = size;
        this.completed = (BitSet) completed.clone();
        this.taken = (BitSet) completed.clone();
        this.completedCount = completed.cardinality();
        this.takenCount = completedCount;
    }

    int completedCount() {
        return completedCount;
    }

    boolean isCompleted(int index) {
        return completed.get(index);
    }

    boolean areAllCompleted() {
        return completedCount == size;
    }

    /** The completed tasks; not a copy, callers must not modify it. */
    BitSet completed() {
        return completed;
    }

    /** Number of tasks that are neither assigned nor completed. */
    int pendingCount() {
        return size - takenCount;
    }

    /** Returns the first pending task at or after the given index, or {@link Job#NO_TASK}. */
    int nextPending(int from) {
        int next = taken.nextClearBit(from);
        return next < size ? next : Job.NO_TASK;
    }

    /** Marks a task as assigned to an attempt. */
    void take(int index) {
        if (!taken.get(index)) {
            taken.set(index);
            takenCount++;
        }
    }

    /** Makes a task pending again unless it is completed. */
    void release(int index) {
        if (!completed.get(index) && taken.get(index)) {
            taken.clear(index);
            takenCount--;
        }
    }

    /** Marks a task as completed; returns false if it already was. */
    boolean complete(int index) {
        if (completed.get(index)) {
            return false;
        }
        completed.set(index);
        completedCount++;
        take(index);
        return true;
    }
}
