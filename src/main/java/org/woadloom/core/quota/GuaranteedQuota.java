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
 * Decides which jobs are within their team's guarantee: a job is if it fits into the guarantee
 * together with all earlier unfinished jobs of the team. This is decided for a job as a whole, so
 * that two teams close to their guarantees do not keep preempting each other's tasks.
 */
public final class GuaranteedQuota {
    private static final Comparator<Job> BY_AGE =
            Comparator.comparingLong(Job::queuedSinceMicros).thenComparing(Job::jobId);

    private static final long UPDATE_INTERVAL_MICROS = 200_000;

    private final SchedulerState state;
    private long lastJobArrivalCount = -1;
    private long nextUpdateMicros;

    public GuaranteedQuota(SchedulerState state) {
        this.state = state;
    }

    /**
     * Marks the jobs that are within a guarantee: immediately when a job arrives, otherwise at
     * intervals, so quota freed by finished jobs is reassigned with a short delay.
     */
    public void update() {
        if (state.jobArrivalCount() == lastJobArrivalCount
                && state.nowMicros() < nextUpdateMicros) {
            return;
        }
        lastJobArrivalCount = state.jobArrivalCount();
        nextUpdateMicros = state.nowMicros() + UPDATE_INTERVAL_MICROS;
        Map<TeamQuota, Resources> requestedByTeam = new HashMap<>();
        for (Job job : openJobsByAge()) {
            int unfinishedTasks = job.description.taskCount() - job.completedTaskCount();
            Resources requested =
                    requestedByTeam
                            .getOrDefault(job.teamQuota, Resources.NONE)
                            .plus(job.taskResources.times(unfinishedTasks));
            requestedByTeam.put(job.teamQuota, requested);
            job.setWithinGuarantee(job.teamQuota.fitsGuarantee(requested));
        }
    }

    private List<Job> openJobsByAge() {
        List<Job> jobs = new ArrayList<>(state.jobs().size());
        for (Job job : state.jobs().values()) {
            if (!job.isTerminal() && !job.isBlocked()) {
                jobs.add(job);
            }
        }
        jobs.sort(BY_AGE);
        return jobs;
    }
}
