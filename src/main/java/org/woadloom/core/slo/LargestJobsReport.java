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
 * What became of the largest tenth of each class's jobs: whoever serves only small ones looks well
 * on average.
 */
final class LargestJobsReport {
    private static final double LARGEST_SHARE = 0.1;

    /**
     * About 12,000 jobs are open at 4,000 machines, and all may be of one class; the report is of
     * the latest.
     */
    private static final int MAX_JOBS_PER_CLASS = 12_000;

    private static final long BEGIN_MICROS = 240_000_000;

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
                    int begun = 0;
                    int done = 0;
                    long slowest = 0;
                    for (Entry entry : largest) {
                        boolean hasBegun = entry.startedMicros != Job.NEVER_MICROS;
                        begun += hasBegun && entry.waitedMicros() <= BEGIN_MICROS ? 1 : 0;
                        done += entry.done ? 1 : 0;
                        slowest = hasBegun ? Math.max(slowest, entry.waitedMicros()) : slowest;
                    }
                    if (!largest.isEmpty()) {
                        lines.add(
                                LogEntry.info(LogEvent.LARGEST_JOBS_SERVICE_LEVEL)
                                        .with("class", name)
                                        .with("jobs", largest.size())
                                        .with("started_in_time", begun)
                                        .withSeconds("slowest_start_s", slowest)
                                        .with("done", done));
                    }
                });
        return lines;
    }

    private static List<Entry> largest(Collection<Entry> jobs) {
        List<Entry> kept = new ArrayList<>(jobs);
        kept.removeIf(entry -> entry.cancelled);
        kept.sort(Comparator.comparingLong((Entry entry) -> -entry.size));
        return kept.subList(0, (int) Math.ceil(kept.size() * LARGEST_SHARE));
    }
}
