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
 * Reports, by team and class, how many jobs this term has known, how many of them had all tasks
 * running, how many are over, and how long the one that waits longest has waited. Nothing is
 * decided by it.
 */
public final class ServiceLevelReport {
    private static final long PERIOD_MICROS = 60_000_000;

    private final SchedulerState state;
    private final Map<String, Count> counts = new TreeMap<>();

    /** Open jobs of which all tasks were seen running or done at once. */
    private final Set<Job> fullyStarted = new HashSet<>();

    private final LargestJobsReport largestJobs = new LargestJobsReport();
    private long nextMicros;

    private static final class Count {
        final String team;
        final String jobClass;
        int accepted;
        int fullyStarted;
        int ended;
        int cancelled;
        long longestWaitMicros;

        Count(String team, String jobClass) {
            this.team = team;
            this.jobClass = jobClass;
        }

        Row row() {
            return new Row(
                    team, jobClass, accepted, fullyStarted, ended, cancelled, longestWaitMicros);
        }
    }

    /** One team's jobs of one class; those {@code cancelled} are among those that are over. */
    public record Row(
            String team,
            String jobClass,
            int accepted,
            int fullyStarted,
            int ended,
            int cancelled,
            long longestWaitMicros) {}

    /** A report on the jobs of this state's term. */
    public ServiceLevelReport(SchedulerState state) {
        this.state = state;
        nextMicros = state.nowMicros() + PERIOD_MICROS;
    }

    private Count count(Job job) {
        return counts.computeIfAbsent(
                job.description.team() + '\0' + job.description.jobClass(),
                key -> new Count(job.description.team(), job.description.jobClass()));
    }

    /** The job has come into this term. */
    public void onJobAdded(Job job) {
        count(job).accepted++;
        largestJobs.onJobAdded(job);
    }

    /** Notes whether all tasks of the job run or are done; to be called before they are stopped. */
    public void recordIfFullyStarted(Job job) {
        if (!job.isTerminal()
                && job.runningTaskCount() + job.completedTaskCount() == job.description.taskCount()
                && fullyStarted.add(job)) {
            count(job).fullyStarted++;
        }
    }

    /** The job is over and nothing of it is left. */
    public void onJobEnded(Job job) {
        Count count = count(job);
        count.ended++;
        if (job.isCancelled()) {
            count.cancelled++;
        }
        if (!fullyStarted.remove(job) && job.isComplete()) {
            count.fullyStarted++;
        }
        largestJobs.observe(job);
    }

    /** Once a minute, logs a line and publishes a row for each team and class. */
    public void reportIfDue() {
        if (state.nowMicros() < nextMicros) {
            return;
        }
        nextMicros = state.nowMicros() + PERIOD_MICROS;
        updateCounts();
        publish();
    }

    private void updateCounts() {
        counts.values().forEach(count -> count.longestWaitMicros = 0);
        for (Job job : state.jobs().values()) {
            recordIfFullyStarted(job);
            largestJobs.observe(job);
            if (!job.isBlocked() && !job.isTerminal() && !fullyStarted.contains(job)) {
                Count count = count(job);
                count.longestWaitMicros =
                        Math.max(
                                count.longestWaitMicros,
                                state.nowMicros() - job.queuedSinceMicros());
            }
        }
    }

    private void publish() {
        List<Row> rows = new ArrayList<>();
        for (Count count : counts.values()) {
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
        largestJobs.lines().forEach(state::log);
        state.emit(new SchedulerAction.PublishServiceLevels(rows));
    }
}
