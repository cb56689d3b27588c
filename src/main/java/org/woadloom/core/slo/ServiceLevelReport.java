package org.woadloom.core.slo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;

/**
 * Reports, for each team and job class, how many jobs this term has had, how many of them have had
 * all tasks running, how many have ended, and the longest time that a job has been waiting. No
 * scheduling decision depends on it.
 */
public final class ServiceLevelReport {
    private static final long REPORT_INTERVAL_MICROS = 60_000_000;

    private final SchedulerState state;
    private final Map<String, JobCounts> counts = new TreeMap<>();

    /** Open jobs of which all tasks have been running or done at the same time. */
    private final Set<Job> fullyStarted = new HashSet<>();

    private final LargestJobsReport largestJobs = new LargestJobsReport();
    private long nextReportMicros;

    private static final class JobCounts {
        final String team;
        final String jobClass;
        int accepted;
        int fullyStarted;
        int ended;
        int cancelled;
        long longestWaitMicros;

        JobCounts(String team, String jobClass) {
            this.team = team;
            this.jobClass = jobClass;
        }

        Row row() {
            return new Row(
                    team, jobClass, accepted, fullyStarted, ended, cancelled, longestWaitMicros);
        }
    }

    /** The counts for one team's jobs of one class; {@code ended} includes {@code cancelled}. */
    public record Row(
            String team,
            String jobClass,
            int accepted,
            int fullyStarted,
            int ended,
            int cancelled,
            long longestWaitMicros) {}

    /** Creates a report on the jobs of the state's term. */
    public ServiceLevelReport(SchedulerState state) {
        this.state = state;
        nextReportMicros = state.nowMicros() + REPORT_INTERVAL_MICROS;
    }

    private JobCounts countsFor(Job job) {
        return counts.computeIfAbsent(
                job.description.team() + '\0' + job.description.jobClass(),
                key -> new JobCounts(job.description.team(), job.description.jobClass()));
    }

    /** Counts a job that was added to the state. */
    public void onJobAdded(Job job) {
        countsFor(job).accepted++;
        largestJobs.onJobAdded(job);
    }

    /**
     * Records whether all tasks of the job are running or done. To be called also before its tasks
     * are stopped.
     */
    public void recordIfFullyStarted(Job job) {
        if (!job.isTerminal()
                && job.runningTaskCount() + job.completedTaskCount() == job.description.taskCount()
                && fullyStarted.add(job)) {
            countsFor(job).fullyStarted++;
        }
    }

    /** Counts a job that is over and has no attempts left. */
    public void onJobEnded(Job job) {
        JobCounts count = countsFor(job);
        count.ended++;
        if (job.isCancelled()) {
            count.cancelled++;
        }
        if (!fullyStarted.remove(job) && job.isComplete()) {
            count.fullyStarted++;
        }
        largestJobs.update(job);
    }

    /** Once a minute, logs and publishes the counts for each team and class. */
    public void reportIfDue() {
        if (state.nowMicros() < nextReportMicros) {
            return;
        }
        nextReportMicros = state.nowMicros() + REPORT_INTERVAL_MICROS;
        updateCounts();
        publish();
    }

    private void updateCounts() {
        counts.values().forEach(count -> count.longestWaitMicros = 0);
        for (Job job : state.jobs().values()) {
            recordIfFullyStarted(job);
            largestJobs.update(job);
            if (!job.isBlocked() && !job.isTerminal() && !fullyStarted.contains(job)) {
                JobCounts count = countsFor(job);
                count.longestWaitMicros =
                        Math.max(
                                count.longestWaitMicros,
                                state.nowMicros() - job.queuedSinceMicros());
            }
        }
    }

    private void publish() {
        List<Row> rows = new ArrayList<>();
        for (JobCounts count : counts.values()) {
            Row row = count.row();
            rows.add(row);
            state.log(
                    LogEntry.info(LogEvent.SERVICE_LEVEL)
                            .with("term", state.term())
                            .with("team", row.team)
                            .with("class", row.jobClass)
                            .with("accepted", row.accepted)
                            .with("fully_started", row.fullyStarted)
                            .with("ended", row.ended)
                            .with("cancelled", row.cancelled)
                            .withSeconds("longest_wait_s", row.longestWaitMicros));
        }
        largestJobs.logEntries().forEach(state::log);
        state.emit(new SchedulerAction.PublishServiceLevels(rows));
    }
}
