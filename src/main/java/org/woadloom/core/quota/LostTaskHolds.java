package org.woadloom.core.quota;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.Resources;

/**
 * Holds the quota of tasks that were lost with their machines until they are placed again.
 *
 * <p>Otherwise the quota of a lost large task would go to smaller tasks immediately, and would not
 * be free in one piece again for long. A hold leaves other jobs no less than they had while the
 * task ran. It expires after a while, so that a task for which there is no machine does not keep
 * quota unused.
 */
final class LostTaskHolds {
    /**
     * As long as a turn of {@link QuotaRotation}, and well below the time jobs may have to wait.
     */
    private static final long MAX_HOLD_MICROS = 60_000_000;

    private final Map<Job, Hold> holds = new LinkedHashMap<>();

    /** The total held for all jobs. Cached because a search reads it for each machine. */
    private Resources totalHeld = Resources.NONE;

    /** The lost tasks of one job. */
    private static final class Hold {
        /** When each task was lost, the earliest first. */
        final ArrayDeque<Long> lossTimesMicros = new ArrayDeque<>();

        /**
         * For how many of them quota is held: those without a reservation, which counts as used.
         */
        int heldTasks;

        void expire(long nowMicros, int pendingTasks, int reservedTasks) {
            lossTimesMicros.removeIf(micros -> nowMicros - micros > MAX_HOLD_MICROS);
            while (lossTimesMicros.size() > pendingTasks) {
                lossTimesMicros.remove();
            }
            heldTasks = Math.max(0, lossTimesMicros.size() - reservedTasks);
        }

        void onPlaced() {
            lossTimesMicros.remove();
            heldTasks = Math.min(heldTasks, lossTimesMicros.size());
        }
    }

    /** Holds the quota that a lost task of the job used. */
    void onLost(Job job, long nowMicros) {
        Hold hold = holds.computeIfAbsent(job, key -> new Hold());
        hold.lossTimesMicros.add(nowMicros);
        hold.heldTasks++;
        totalHeld = totalHeld.plus(job.taskResources);
    }

    /** Ends the oldest hold of the job, one of whose tasks was placed. */
    void onPlaced(Job job) {
        Hold hold = holds.get(job);
        if (hold != null) {
            int before = hold.heldTasks;
            hold.onPlaced();
            totalHeld = totalHeld.minus(job.taskResources.times(before - hold.heldTasks));
            if (hold.lossTimesMicros.isEmpty()) {
                holds.remove(job);
            }
        }
    }

    /** Ends holds that are too old, and those in excess of their job's pending tasks. */
    void expireHolds(long nowMicros, ToIntFunction<Job> reservedTasks) {
        holds.forEach(
                (job, hold) ->
                        hold.expire(
                                nowMicros, job.pendingTaskCount(), reservedTasks.applyAsInt(job)));
        holds.values().removeIf(hold -> hold.lossTimesMicros.isEmpty());
        totalHeld = Resources.NONE;
        holds.forEach(
                (job, hold) -> totalHeld = totalHeld.plus(job.taskResources.times(hold.heldTasks)));
    }

    /** For how many lost tasks of the job quota is held. */
    int heldTasks(Job job) {
        Hold hold = holds.get(job);
        return hold == null ? 0 : hold.heldTasks;
    }

    /** The quota held for jobs other than this one. */
    Resources heldForOthers(Job job) {
        return totalHeld.minus(job.taskResources.times(heldTasks(job)));
    }
}
