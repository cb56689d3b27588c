package org.woadloom.core.placement;

import java.util.HashSet;
import java.util.Set;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.TaskProgressCodec;

/**
 * Computes an upper bound, in bytes, for the size that a job's record may grow to. A job whose
 * record would exceed the store's value limit runs in waves: the tasks placed at a time fit
 * whichever way they end.
 */
public abstract sealed class RecordSizeEstimate {
    /** Size in bytes of a typical description in the compact format. */
    private static final int TYPICAL_DESCRIPTION_BYTES = 420;

    /** Maximum size of a value in the store, in bytes. */
    private final int limitBytes;

    private final Set<Machine> machines = new HashSet<>();

    /**
     * Attempts that a record stores as one entry: those on one machine with the same attempt
     * number.
     */
    private record Group(Machine machine, long attempt) {}

    private RecordSizeEstimate(int limit) {
        this.limitBytes = limit;
    }

    static RecordSizeEstimate of(Job job, int limit, RecordFormat format) {
        return format == RecordFormat.COMPACT ? new Compact(job, limit) : new Plain(job, limit);
    }

    /**
     * Returns how many tasks of a typical job a value of this size holds if each is on a machine of
     * its own.
     */
    public static int maxTasksOnDistinctMachines(int valueBytes) {
        Compact size = new Compact(valueBytes, TYPICAL_DESCRIPTION_BYTES);
        return size.maxMoreTasks(0, valueBytes);
    }

    /**
     * Upper bound for the size of the record after more tasks are placed.
     *
     * @param tasks number of tasks placed in addition
     * @param lastIndex the highest index among them
     * @param machines number of additional machines
     */
    abstract int sizeWith(int tasks, int lastIndex, int machines);

    abstract void onPlaced(int index, boolean newMachine);

    private static int groupCount(Job job) {
        Set<Group> groups = new HashSet<>();
        for (TaskAttempt attempt : job.attempts()) {
            groups.add(new Group(attempt.machine, attempt.attemptNumber));
        }
        return groups.size();
    }

    boolean fitsOneMore(int index) {
        return sizeWith(1, index, 1) <= limitBytes;
    }

    /**
     * Returns how many more tasks fit, starting at the given one and whichever machines they use;
     * at most {@code wanted}.
     */
    int maxMoreTasks(int index, int wanted) {
        int fitting = 0;
        int tooMany = wanted + 1;
        while (tooMany - fitting > 1) {
            int middle = (fitting + tooMany) / 2;
            if (sizeWith(middle, index + middle - 1, middle) <= limitBytes) {
                fitting = middle;
            } else {
                tooMany = middle;
            }
        }
        return fitting;
    }

    /** Accounts for one more task that is placed on the machine in this pass. */
    void add(int index, Machine machine) {
        onPlaced(index, machines.add(machine));
    }

    /**
     * For records in the compact format, with the {@link TaskProgressCodec} output encoded as text.
     */
    private static final class Compact extends RecordSizeEstimate {
        /** Everything but the description and the task progress. */
        private static final int FIXED_BYTES = 260;

        /** The delta of the machine numbers and the index of the attempt. */
        private static final int BYTES_PER_GROUP = 3;

        private static final int BYTES_PER_GROUP_OF_MANY_ATTEMPTS = 4;

        /** With more attempts, some indexes exceed the seven bits that one byte holds. */
        private static final int MAX_ONE_BYTE_ATTEMPTS = 127;

        private static final int BYTES_PER_ATTEMPT = 4;

        private final int descriptionBytes;
        private int firstIndex;
        private int endIndex;
        private int groupCount;
        private int attemptCount;

        Compact(int limit, int descriptionBytes) {
            super(limit);
            this.descriptionBytes = descriptionBytes;
        }

        Compact(Job job, int limit) {
            this(limit, job.descriptionBytes());
            firstIndex = job.completedTasks().nextClearBit(0);
            endIndex = job.completedTasks().length();
            Set<Long> attemptNumbers = new HashSet<>();
            for (TaskAttempt attempt : job.attempts()) {
                firstIndex = Math.min(firstIndex, attempt.taskIndex);
                endIndex = Math.max(endIndex, attempt.taskIndex + 1);
                attemptNumbers.add(attempt.attemptNumber);
            }
            attemptCount = attemptNumbers.size() + 1;
            groupCount = groupCount(job);
        }

        @Override
        int sizeWith(int tasks, int lastIndex, int machines) {
            int totalGroups = groupCount + machines;
            int window = Math.max(endIndex, lastIndex + 1) - firstIndex;
            int bytes =
                    totalGroups
                                    * (attemptCount > MAX_ONE_BYTE_ATTEMPTS
                                            ? BYTES_PER_GROUP_OF_MANY_ATTEMPTS
                                            : BYTES_PER_GROUP)
                            + attemptCount * BYTES_PER_ATTEMPT
                            + (window * TaskProgressCodec.bitsPerTask(totalGroups) + 7) / 8;
            return FIXED_BYTES + descriptionBytes + (bytes * 4 + 2) / 3;
        }

        @Override
        void onPlaced(int index, boolean newMachine) {
            endIndex = Math.max(endIndex, index + 1);
            groupCount += newMachine ? 1 : 0;
        }
    }

    /** For the plain format, which is written while any node may run version 1. */
    private static final class Plain extends RecordSizeEstimate {
        private static final int FIXED_BYTES = 900;

        /** A machine name, an attempt number and their delimiters. */
        private static final int BYTES_PER_GROUP = 56;

        /**
         * A task's index as both ends of a range. Any task, completed or placed, may become a range
         * of its own.
         */
        private static final int BYTES_PER_TASK = 14;

        private int sizeBytes;

        Plain(Job job, int limit) {
            super(limit);
            int completedRanges = 0;
            for (int i = job.completedTasks().nextSetBit(0);
                    i >= 0;
                    i = job.completedTasks().nextSetBit(job.completedTasks().nextClearBit(i))) {
                completedRanges++;
            }
            sizeBytes =
                    FIXED_BYTES
                            + BYTES_PER_GROUP * groupCount(job)
                            + BYTES_PER_TASK * (job.attempts().size() + completedRanges);
        }

        @Override
        int sizeWith(int tasks, int lastIndex, int machines) {
            return sizeBytes + BYTES_PER_GROUP * machines + BYTES_PER_TASK * tasks;
        }

        @Override
        void onPlaced(int index, boolean newMachine) {
            sizeBytes += BYTES_PER_TASK + (newMachine ? BYTES_PER_GROUP : 0);
        }
    }
}
