package org.woadloom.core.placement;

import java.util.HashSet;
import java.util.Set;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.TaskProgressCodec;

/**
 * An upper bound of what a job's one record may grow to, in bytes, so that a job too large for it
 * runs in waves: what is placed at once must fit the store's values, however its tasks end.
 */
public abstract sealed class RecordSizeEstimate {
    /** Bytes of an ordinary description in the compact format. */
    private static final int TYPICAL_DESCRIPTION = 420;

    /** How large the store's values may be. */
    private final int limit;

    private final Set<Machine> machines = new HashSet<>();

    /** What a record names together: the tasks of one machine under one attempt number. */
    private record Group(Machine machine, long attempt) {}

    private RecordSizeEstimate(int limit) {
        this.limit = limit;
    }

    static RecordSizeEstimate of(Job job, int limit, RecordFormat format) {
        return format == RecordFormat.COMPACT ? new Compact(job, limit) : new Plain(job, limit);
    }

    /** How many tasks of a job a value of this size holds when each is on a machine of its own. */
    public static int maxTasksOnDistinctMachines(int valueBytes) {
        Compact size = new Compact(valueBytes, TYPICAL_DESCRIPTION);
        return size.maxMoreTasks(0, valueBytes);
    }

    /**
     * How large the record may become with so many more tasks, the last of that number, on so many
     * more machines.
     */
    abstract int sizeWith(int tasks, int lastIndex, int machines);

    abstract void onPlaced(int index, boolean newMachine);

    private static int groups(Job job) {
        Set<Group> groups = new HashSet<>();
        for (TaskAttempt attempt : job.attempts()) {
            groups.add(new Group(attempt.machine, attempt.attemptNumber));
        }
        return groups.size();
    }

    boolean fitsOneMore(int index) {
        return sizeWith(1, index, 1) <= limit;
    }

    /** How many more tasks from the given one on fit, wherever they go; no more than wanted. */
    int maxMoreTasks(int index, int wanted) {
        int fitting = 0;
        int tooMany = wanted + 1;
        while (tooMany - fitting > 1) {
            int middle = (fitting + tooMany) / 2;
            if (sizeWith(middle, index + middle - 1, middle) <= limit) {
                fitting = middle;
            } else {
                tooMany = middle;
            }
        }
        return fitting;
    }

    /** One more task is placed there, under this pass's attempt. */
    void add(int index, Machine machine) {
        onPlaced(index, machines.add(machine));
    }

    /** Of {@link org.woadloom.store.JobRecord}s with {@link TaskProgressCodec} as text. */
    private static final class Compact extends RecordSizeEstimate {
        /** What is around the description and the progress. */
        private static final int FIXED = 260;

        /** The difference of two machines' numbers, and which attempt. */
        private static final int PER_GROUP = 3;

        private static final int PER_GROUP_OF_MANY = 4;
        private static final int FEW_ATTEMPTS = 127;
        private static final int PER_ATTEMPT = 4;

        private final int description;
        private int front;
        private int end;
        private int groups;
        private int attempts;

        Compact(int limit, int description) {
            super(limit);
            this.description = description;
        }

        Compact(Job job, int limit) {
            this(limit, job.descriptionSize());
            front = job.completedTasks().nextClearBit(0);
            end = job.completedTasks().length();
            Set<Long> distinct = new HashSet<>();
            for (TaskAttempt attempt : job.attempts()) {
                front = Math.min(front, attempt.taskIndex);
                end = Math.max(end, attempt.taskIndex + 1);
                distinct.add(attempt.attemptNumber);
            }
            attempts = distinct.size() + 1;
            groups = groups(job);
        }

        @Override
        int sizeWith(int tasks, int lastIndex, int machines) {
            int all = groups + machines;
            int window = Math.max(end, lastIndex + 1) - front;
            int bytes =
                    all * (attempts > FEW_ATTEMPTS ? PER_GROUP_OF_MANY : PER_GROUP)
                            + attempts * PER_ATTEMPT
                            + (window * TaskProgressCodec.bitsPerTask(all) + 7) / 8;
            return FIXED + description + (bytes * 4 + 2) / 3;
        }

        @Override
        void onPlaced(int index, boolean newMachine) {
            end = Math.max(end, index + 1);
            groups += newMachine ? 1 : 0;
        }
    }

    /** Of version 1's records, while a node may run it. */
    private static final class Plain extends RecordSizeEstimate {
        private static final int FIXED = 900;

        /** A machine's name, an attempt and what is around them. */
        private static final int PER_GROUP = 56;

        /**
         * A task's number twice, as a range by itself; done or placed, every task may come to stand
         * alone.
         */
        private static final int PER_TASK = 14;

        private int size;

        Plain(Job job, int limit) {
            super(limit);
            int doneRanges = 0;
            for (int i = job.completedTasks().nextSetBit(0);
                    i >= 0;
                    i = job.completedTasks().nextSetBit(job.completedTasks().nextClearBit(i))) {
                doneRanges++;
            }
            size =
                    FIXED
                            + PER_GROUP * groups(job)
                            + PER_TASK * (job.attempts().size() + doneRanges);
        }

        @Override
        int sizeWith(int tasks, int lastIndex, int machines) {
            return size + PER_GROUP * machines + PER_TASK * tasks;
        }

        @Override
        void onPlaced(int index, boolean newMachine) {
            size += PER_TASK + (newMachine ? PER_GROUP : 0);
        }
    }
}
