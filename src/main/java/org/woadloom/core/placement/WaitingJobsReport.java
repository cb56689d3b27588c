package org.woadloom.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.reservation.Reservations;

/**
 * Periodically logs the jobs that have waited longest, why each waits, and which job of its team
 * was placed last. Informational only.
 */
public final class WaitingJobsReport {
    private static final long INTERVAL_MICROS = 30_000_000;
    private static final long MIN_WAIT_MICROS = 30_000_000;
    private static final int MAX_JOBS = 10;

    private final SchedulerState state;
    private final PlacementConstraints constraints;
    private final Reservations reservations;
    private long nextReportMicros;

    public WaitingJobsReport(
            SchedulerState state, PlacementConstraints constraints, Reservations reservations) {
        this.state = state;
        this.constraints = constraints;
        this.reservations = reservations;
        nextReportMicros = state.nowMicros() + INTERVAL_MICROS;
    }

    /** Logs the report if it is due; called after each complete search for placements. */
    public void logIfDue() {
        if (state.nowMicros() < nextReportMicros) {
            return;
        }
        nextReportMicros = state.nowMicros() + INTERVAL_MICROS;
        for (Job job : longestWaiting()) {
            log(job);
        }
    }

    private List<Job> longestWaiting() {
        List<Job> waiting = new ArrayList<>();
        for (Job job : state.jobs().values()) {
            if (job.pendingTaskCount() > 0
                    && state.nowMicros() - job.waitingSinceMicros() > MIN_WAIT_MICROS) {
                waiting.add(job);
            }
        }
        waiting.sort(Comparator.comparingLong(Job::waitingSinceMicros).thenComparing(Job::jobId));
        return waiting.subList(0, Math.min(MAX_JOBS, waiting.size()));
    }

    private void log(Job job) {
        state.log(
                LogEntry.info(LogEvent.TASKS_PENDING)
                        .with("job", job.jobId())
                        .with("team", job.teamQuota.team.name())
                        .with("class", job.description.jobClass())
                        .with("pending", job.pendingTaskCount())
                        .with("task_cpus", job.description.cpus())
                        .with("reason", reason(job).text())
                        .withSeconds("waited_s", state.nowMicros() - job.waitingSinceMicros())
                        .with("team_used_cpus", job.teamQuota.used().cpu() / Resources.SCALE)
                        .with("last_placed_job", job.teamQuota.lastPlacedJobId()));
    }

    /** Returns why the job's next task is not placed now. */
    PendingReason reason(Job job) {
        if (!job.description.isService() && job.isBackingOff(state.nowMicros())) {
            return PendingReason.BACKING_OFF;
        }
        if (job.placeNotBeforeMicros() > state.nowMicros()) {
            return PendingReason.RETRY_DELAY;
        }
        Optional<PendingReason> quotaReason = job.teamQuota.quotaPendingReason(job);
        return quotaReason.orElseGet(() -> machineReason(job));
    }

    private PendingReason machineReason(Job job) {
        boolean anyAcceptsTasks = false;
        for (Machine machine : state.machines().values()) {
            if (constraints.acceptsTasks(machine)
                    && constraints.allows(job, machine)
                    && !job.failedOnHosts.contains(machine.host)) {
                anyAcceptsTasks = true;
                if (reservations.unreserved(machine, job).contains(job.taskResources)) {
                    return job.description.isGang()
                            ? PendingReason.INCOMPLETE_GANG
                            : PendingReason.NONE;
                }
            }
        }
        return anyAcceptsTasks ? PendingReason.NO_FREE_MACHINE : PendingReason.NO_MACHINE;
    }
}
