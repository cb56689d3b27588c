package org.woadloom.core.placement;

import java.util.HashSet;
import java.util.Set;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.Placement;
import org.woadloom.core.machines.Machine;

/**
 * An upper bound of what a job's one record may grow to, so that a job too large for it runs in waves: what is placed at
 * once must fit the state service's values, however its tasks end.
 */
public final class RecordSize {
    private static final int FIXED = 900;
    /** A machine's name, an attempt and what is around them. */
    private static final int PER_GROUP = 56;
    /** A task's number twice, as a range by itself; done or placed, every task may come to stand alone. */
    private static final int PER_TASK = 14;

    private final int limit;
    private final Set<Machine> machines = new HashSet<>();
    private int size;

    private record Group(Machine machine, long attempt) {
    }

    RecordSize(Job job, int limit) {
        this.limit = limit;
        Set<Group> groups = new HashSet<>();
        for (Placement placement : job.placements()) {
            groups.add(new Group(placement.machine, placement.attempt));
        }
        int doneRanges = 0;
        for (int i = job.done.nextSetBit(0); i >= 0; i = job.done.nextSetBit(job.done.nextClearBit(i))) {
            doneRanges++;
        }
        size = FIXED + PER_GROUP * groups.size() + PER_TASK * (job.placements().size() + doneRanges);
    }

    /** How many tasks of a job a value of this size holds when each is on a machine of its own. */
    public static int tasksApart(int valueBytes) {
        return Math.max(0, (valueBytes - FIXED) / (PER_GROUP + PER_TASK));
    }

    boolean takesMore() {
        return size + PER_GROUP + PER_TASK <= limit;
    }

    /** For how many more tasks there is room, wherever they go. */
    int mostMore() {
        return Math.max(0, (limit - size) / (PER_GROUP + PER_TASK));
    }

    /** One more task is placed there, under this pass's attempt. */
    void add(Machine machine) {
        size += PER_TASK + (machines.add(machine) ? PER_GROUP : 0);
    }
}
