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
            Comparator.comparingLong(Job::queuedSinceMicros).thenComparing(Job::jobId);

    private static final long UPDATE_INTERVAL_MICROS = 200_000;

    private final SchedulerState state;
    private long jobArrivalsSeen = -1;
    private long nextUpdateMicros;

    public GuaranteedQuota(SchedulerState state) {
        this.state = state;
    }

    /**
     * Marks the jobs that are within a guarantee. New jobs are judged at once; what comes free of a
     * guarantee is given away a little later.
     */
    public void update() {
        if (state.jobArrivalCount() == jobArrivalsSeen && state.nowMicros() < nextUpdateMicros) {
            return;
        }
        jobArrivalsSeen = state.jobArrivalCount();
        nextUpdateMicros = state.nowMicros() + UPDATE_INTERVAL_MICROS;
        Map<TeamQuota, Resources> askedByTeam = new HashMap<>();
        for (Job job : openJobsByAge()) {
            int openTasks = job.description.taskCount() - job.completedTaskCount();
            Resources asked =
                    askedByTeam
                            .getOrDefault(job.teamQuota, Resources.NONE)
                            .plus(job.taskResources.times(openTasks));
            askedByTeam.put(job.teamQuota, asked);
            job.setWithinGuarantee(job.teamQuota.fitsGuarantee(asked));
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
