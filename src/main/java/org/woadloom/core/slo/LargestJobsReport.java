package org.woadloom.core.slo;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.jobs.Job;

/**
 * Reports how the largest tenth of the jobs of each class is served. Averages over all jobs would
 * hide a scheduler that serves only small ones.
 */
final class LargestJobsReport {
    private static final double LARGEST_SHARE = 0.1;

    /**
     * A cluster of 4,000 machines has about 12,000 open jobs, and all may be of one class. Beyond
     * this number the oldest jobs are dropped from the report.
     */
    private static final int MAX_JOBS_PER_CLASS = 12_000;

    /** A job that waited no longer than this counts as started in time. */
    private static final long START_OBJECTIVE_MICROS = 240_000_000;

    private final Map<String, Map<String, TrackedJob>> byClass = new TreeMap<>();

    private static final class TrackedJob {
        final long totalCpu;
        final long queuedSinceMicros;
        long startedMicros = Job.NEVER_MICROS;
        boolean done;
        boolean cancelled;

        TrackedJob(Job job) {
            totalCpu = job.taskResources.cpu() * job.description.taskCount();
            queuedSinceMicros = job.queuedSinceMicros();
        }

        boolean hasStarted() {
            return startedMicros != Job.NEVER_MICROS;
        }

        long waitedMicros() {
            return startedMicros - queuedSinceMicros;
        }
    }

    void onJobAdded(Job job) {
        Map<String, TrackedJob> jobs =
                byClass.computeIfAbsent(job.description.jobClass(), name -> new LinkedHashMap<>());
        jobs.put(job.jobId(), new TrackedJob(job));
        if (jobs.size() > MAX_JOBS_PER_CLASS) {
            jobs.remove(jobs.keySet().iterator().next());
        }
    }

    private TrackedJob trackedJob(Job job) {
        return byClass.getOrDefault(job.description.jobClass(), Map.of()).get(job.jobId());
    }

    void update(Job job) {
        TrackedJob tracked = trackedJob(job);
        if (tracked != null) {
            tracked.startedMicros = job.firstPlacedMicros();
            tracked.cancelled = job.isCancelled();
            tracked.done = job.isComplete();
        }
    }

    /** A log entry for each class; cancelled jobs are left out. */
    List<LogEntry> logEntries() {
        List<LogEntry> entries = new ArrayList<>();
        byClass.forEach(
                (name, jobs) -> {
                    List<TrackedJob> largest = largest(jobs.values());
                    if (!largest.isEmpty()) {
                        entries.add(logEntry(name, largest));
                    }
                });
        return entries;
    }

    private static LogEntry logEntry(String jobClass, List<TrackedJob> largest) {
        int startedInTime = 0;
        int done = 0;
        long slowestStartMicros = 0;
        for (TrackedJob tracked : largest) {
            if (tracked.hasStarted()) {
                slowestStartMicros = Math.max(slowestStartMicros, tracked.waitedMicros());
                if (tracked.waitedMicros() <= START_OBJECTIVE_MICROS) {
                    startedInTime++;
                }
            }
            if (tracked.done) {
                done++;
            }
        }
        return LogEntry.info(LogEvent.LARGEST_JOBS_SERVICE_LEVEL)
                .with("class", jobClass)
                .with("jobs", largest.size())
                .with("started_in_time", startedInTime)
                .withSeconds("slowest_start_s", slowestStartMicros)
                .with("done", done);
    }

    private static List<TrackedJob> largest(Collection<TrackedJob> trackedJobs) {
        List<TrackedJob> candidates = new ArrayList<>(trackedJobs);
        candidates.removeIf(tracked -> tracked.cancelled);
        candidates.sort(Comparator.comparingLong((TrackedJob tracked) -> -tracked.totalCpu));
        return candidates.subList(0, (int) Math.ceil(candidates.size() * LARGEST_SHARE));
    }
}
