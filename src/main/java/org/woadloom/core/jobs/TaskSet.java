package org.woadloom.core.jobs;

import java.util.BitSet;

/**
 * Which tasks of a job are completed and which are taken, by index.
 *
 * <p>A task is taken while an attempt of it exists and for good once it is completed; every other
 * task is pending. The counts are kept beside the bits, as they are asked for every job in every
 * pass.
 */
final class TaskSet {
    private final int size;
    private final BitSet completed;
    private final BitSet taken;
    private int completedCount;
    private int takenCount;

    /**
     * @param size how many tasks the job has
     * @param completed the tasks that are completed already; copied
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

    /** The completed tasks themselves, to be read only. */
    BitSet completed() {
        return completed;
    }

    /** How many tasks are neither taken nor completed. */
    int pendingCount() {
        return size - takenCount;
    }

    /** The first pending task from the given index on, or {@link Job#NO_TASK}. */
    int nextPending(int from) {
        int next = taken.nextClearBit(from);
        return next < size ? next : Job.NO_TASK;
    }

    /** Takes a task for an attempt. */
    void take(int index) {
        if (!taken.get(index)) {
            taken.set(index);
            takenCount++;
        }
    }

    /** Makes a task pending again, unless it is completed. */
    void release(int index) {
        if (!completed.get(index) && taken.get(index)) {
            taken.clear(index);
            takenCount--;
        }
    }

    /** Marks a task as completed; false if it was so already. */
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
