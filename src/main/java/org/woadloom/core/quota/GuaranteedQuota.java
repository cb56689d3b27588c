package org.woadloom.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.Resources;

/**
 * Which jobs are within their team's guarantee: those that fit into it together with the team's
 * earlier jobs that are not finished. It is a property of the whole job, so that two teams whose
 * use is near their guarantees don't stop each other's tasks in turn.
 */
public final class GuaranteedQuota {
    private static final Comparator<Job> BY_AGE =
            Comparator.comparingLong((Job job) -> job.sinceMicros()).thenComparing(Job::jobId);

    private static final long AGAIN_MICROS = 200_000;

    private final SchedulerState world;
    private long seen = -1;
    private long againMicros;

    public GuaranteedQuota(SchedulerState world) {
        this.world = world;
    }

    /**
     * Jobs that come are judged at once, and room in a guarantee that comes free is given away a
     * little later.
     */
    public void update() {
        if (world.jobsCome == seen && world.nowMicros < againMicros) {
            return;
        }
        seen = world.jobsCome;
        againMicros = world.nowMicros + AGAIN_MICROS;
        List<Job> jobs = new ArrayList<>(world.jobs.size());
        for (Job job : world.jobs.values()) {
            if (!job.over() && !job.waiting()) {
                jobs.add(job);
            }
        }
        jobs.sort(BY_AGE);
        Map<TeamQuota, Resources> sums = new HashMap<>();
        for (Job job : jobs) {
            Resources sum =
                    sums.getOrDefault(job.team, Resources.NONE)
                            .plus(job.room.times(job.description.taskCount() - job.doneCount()));
            sums.put(job.team, sum);
            job.guaranteed = job.team.guarantees(sum);
        }
    }
}
