package org.woadloom.core.quota;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.Resources;

/**
 * What of a team's limit is held for tasks that were lost with their machines, until they are
 * placed again.
 *
 * <p>Otherwise what a large task used would go to smaller ones the moment it is lost, and would not
 * come together again. Nobody has less for it than while the task was there. A hold ends after a
 * while, as a task that lacks a machine must not keep the limit unused.
 */
final class LostTaskHolds {
    /** As long as a turn at the limit, and well below the time that others may be left waiting. */
    private static final long MAX_HOLD_MICROS = 60_000_000;

    private final Map<Job, Hold> holds = new LinkedHashMap<>();

    /** What is held for all jobs: asked for each machine of each search. */
    private Resources total = Resources.NONE;

    /** The lost tasks of one job. */
    private static final class Hold {
        /** When each was lost, the earliest first. */
        final ArrayDeque<Long> lossMicros = new ArrayDeque<>();

        /** For how many of them something is held: for those without a reservation. */
        int tasks;

        void review(long nowMicros, int pendingTasks, int reservedTasks) {
            lossMicros.removeIf(micros -> nowMicros - micros > MAX_HOLD_MICROS);
            while (lossMicros.size() > pendingTasks) {
                lossMicros.remove();
            }
            tasks = Math.max(0, lossMicros.size() - reservedTasks);
        }

        void onPlaced() {
            lossMicros.remove();
            tasks = Math.min(tasks, lossMicros.size());
        }
    }

    /** Holds what the task of the job used until now. */
    void onLost(Job job, long nowMicros) {
        Hold hold = holds.computeIfAbsent(job, key -> new Hold());
        hold.lossMicros.add(nowMicros);
        hold.tasks++;
        total = total.plus(job.taskResources);
    }

    /** A task of the job was placed, which may be one of those that were lost. */
    void onPlaced(Job job) {
        Hold hold = holds.get(job);
        if (hold != null) {
            int before = hold.tasks;
            hold.onPlaced();
            total = total.minus(job.taskResources.times(before - hold.tasks));
            if (hold.lossMicros.isEmpty()) {
                holds.remove(job);
            }
        }
    }

    /** Ends holds that are too old, and those of jobs that have no use for them. */
    void review(long nowMicros, ToIntFunction<Job> reservedTasks) {
        holds.forEach(
                (job, hold) ->
                        hold.review(
                                nowMicros, job.pendingTaskCount(), reservedTasks.applyAsInt(job)));
        holds.values().removeIf(hold -> hold.lossMicros.isEmpty());
        total = Resources.NONE;
        holds.forEach((job, hold) -> total = total.plus(job.taskResources.times(hold.tasks)));
    }

    /** For how many lost tasks of the job something is held. */
    int tasksOf(Job job) {
        Hold hold = holds.get(job);
        return hold == null ? 0 : hold.tasks;
    }

    /** What is held for jobs other than this one. */
    Resources heldForOthers(Job job) {
        return total.minus(job.taskResources.times(tasksOf(job)));
    }
}
