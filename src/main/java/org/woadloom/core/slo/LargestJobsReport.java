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
 * Reports how the largest tenth of each class's jobs is served, as an average hides a scheduler
 * that serves only small ones.
 */
final class LargestJobsReport {
    private static final double LARGEST_SHARE = 0.1;

    /**
     * About 12,000 jobs are open at 4,000 machines, and all may be of one class; the report is of
     * the latest.
     */
    private static final int MAX_JOBS_PER_CLASS = 12_000;

    /** A job that waited no longer than this started in time. */
    private static final long START_OBJECTIVE_MICROS = 240_000_000;

    private final Map<String, Map<String, Entry>> byClass = new TreeMap<>();

    private static final class Entry {
        final long size;
        final long sinceMicros;
        long startedMicros = Job.NEVER_MICROS;
        boolean done;
        boolean cancelled;

        Entry(Job job) {
            size = job.taskResources.cpu() * job.description.taskCount();
            sinceMicros = job.queuedSinceMicros();
        }

        boolean hasStarted() {
            return startedMicros != Job.NEVER_MICROS;
        }

        long waitedMicros() {
            return startedMicros - sinceMicros;
        }
    }

    void onJobAdded(Job job) {
        Map<String, Entry> jobs =
                byClass.computeIfAbsent(job.description.jobClass(), name -> new LinkedHashMap<>());
        jobs.put(job.jobId(), new Entry(job));
        if (jobs.size() > MAX_JOBS_PER_CLASS) {
            jobs.remove(jobs.keySet().iterator().next());
        }
    }

    private Entry entry(Job job) {
        return byClass.getOrDefault(job.description.jobClass(), Map.of()).get(job.jobId());
    }

    void observe(Job job) {
        Entry entry = entry(job);
        if (entry != null) {
            entry.startedMicros = job.firstPlacedMicros();
            entry.cancelled = job.isCancelled();
            entry.done = job.isComplete();
        }
    }

    /** A line for each class, of jobs that nobody cancelled. */
    List<LogEntry> lines() {
        List<LogEntry> lines = new ArrayList<>();
        byClass.forEach(
                (name, jobs) -> {
                    List<Entry> largest = largest(jobs.values());
                    if (!largest.isEmpty()) {
                        lines.add(line(name, largest));
                    }
                });
        return lines;
    }

    private static LogEntry line(String jobClass, List<Entry> largest) {
        int startedInTime = 0;
        int done = 0;
        long slowestStartMicros = 0;
        for (Entry entry : largest) {
            if (entry.hasStarted()) {
                slowestStartMicros = Math.max(slowestStartMicros, entry.waitedMicros());
                if (entry.waitedMicros() <= START_OBJECTIVE_MICROS) {
                    startedInTime++;
                }
            }
            if (entry.done) {
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

    private static List<Entry> largest(Collection<Entry> jobs) {
        List<Entry> kept = new ArrayList<>(jobs);
        kept.removeIf(entry -> entry.cancelled);
        kept.sort(Comparator.comparingLong((Entry entry) -> -entry.size));
        return kept.subList(0, (int) Math.ceil(kept.size() * LARGEST_SHARE));
    }
}
