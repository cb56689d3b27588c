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
    private final BitSet assigned;
    private int completedCount;
    private int assignedCount;

    /**
     * @param size number of tasks of the job
     * @param completed the tasks that are already completed; copied
     */
    TaskSet(int size, BitSet completed) {
        this.size = size;
        this.completed = (BitSet) completed.clone();
        this.assigned = (BitSet) completed.clone();
        this.completedCount = completed.cardinality();
        this.assignedCount = completedCount;
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
        return size - assignedCount;
    }

    /** Returns the first pending task at or after the given index, or {@link Job#NO_TASK}. */
    int nextPending(int from) {
        int next = assigned.nextClearBit(from);
        return next < size ? next : Job.NO_TASK;
    }

    /** Marks a task as assigned to an attempt. */
    void assign(int index) {
        if (!assigned.get(index)) {
            assigned.set(index);
            assignedCount++;
        }
    }

    /** Makes a task pending again unless it is completed. */
    void release(int index) {
        if (!completed.get(index) && assigned.get(index)) {
            assigned.clear(index);
            assignedCount--;
        }
    }

    /** Marks a task as completed; returns false if it already was. */
    boolean markCompleted(int index) {
        if (completed.get(index)) {
            return false;
        }
        completed.set(index);
        completedCount++;
        assign(index);
        return true;
    }
}
