package org.woadloom.core.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.protocol.Priority;

/**
 * Jobs that wait for others. A job is let go once each job before it is <em>durably</em> done: a
 * final state in the store, or a record that says all done and was acknowledged. That this leader
 * knows a job no more proves nothing, so the store is asked. If a job before it is cancelled, so is
 * the job, and whatever waits for it.
 */
public final class DependencyGraph {
    private static final int MOST_FINDS = 12;
    private static final long FIND_AGAIN_MICROS = 500_000;

    private final SchedulerState world;

    /** The jobs that wait for each job, in the order in which they came. */
    private final Map<String, Set<Job>> waiters = new LinkedHashMap<>();

    /** For each waiting job, those before it that are not known to be done. */
    private final Map<Job, Set<String>> missing = new LinkedHashMap<>();

    /** By the time of day, when the last job before a waiting job was done as far as known. */
    private final Map<Job, Long> lastDone = new HashMap<>();

    /** Jobs the store is to be asked about, and when. */
    private final Map<String, Long> unknown = new LinkedHashMap<>();

    private final Set<String> asked = new LinkedHashSet<>();

    /**
     * Cancelled jobs whose waiters are to be cancelled as well: a list, so that no chain is too
     * long.
     */
    private final ArrayDeque<String> cancelled = new ArrayDeque<>();

    private boolean changed;

    public DependencyGraph(SchedulerState world) {
        this.world = world;
    }

    public int waiting() {
        return missing.size();
    }

    /** A job has come; what it waits for may be known already, and others may wait for it. */
    void add(Job job) {
        if (waiters.containsKey(job.jobId())) {
            if (job.cancelled) {
                cancelled(job.jobId());
            } else if (job.recording.doneDurably()) {
                done(job.jobId(), world.wallMicros);
            }
            changed = true;
        }
        if (!job.waiting() || job.over()) {
            return;
        }
        changed = true;
        missing.put(job, new LinkedHashSet<>(job.description.dependencies()));
        world.log(
                LogEntry.info(LogEvent.JOB_BLOCKED)
                        .with("job", job.jobId())
                        .with("dependencies", String.join(",", job.description.dependencies())));
        for (String before : job.description.dependencies()) {
            waiters.computeIfAbsent(before, jobId -> new LinkedHashSet<>()).add(job);
            Job other = world.jobs.get(before);
            if (other == null) {
                unknown.putIfAbsent(before, world.nowMicros);
            } else if (other.cancelled) {
                cancelled.add(before);
            } else if (other.recording.doneDurably()) {
                done(before, world.wallMicros);
            }
        }
    }

    /** A job is done, and the store says so. */
    void done(String jobId, long wallMicros) {
        unknown.remove(jobId);
        Set<Job> jobs = waiters.remove(jobId);
        if (jobs == null) {
            return;
        }
        changed = true;
        for (Job job : jobs) {
            lastDone.merge(job, wallMicros, Math::max);
            Set<String> left = missing.get(job);
            left.remove(jobId);
            if (left.isEmpty()) {
                release(job);
            }
        }
    }

    private void release(Job job) {
        missing.remove(job);
        long at = Math.min(world.wallMicros, lastDone.remove(job));
        job.ready(world.nowMicros - (world.wallMicros - at), at);
        world.jobsCome++;
        world.arrivals.add(job, world.nowMicros);
        world.placementWorthTrying = true;
        world.log(LogEntry.info(LogEvent.JOB_UNBLOCKED).with("job", job.jobId()));
    }

    /** A job is cancelled, and the store says so: whatever needs it will never run. */
    void cancelled(String jobId) {
        unknown.remove(jobId);
        if (waiters.containsKey(jobId)) {
            cancelled.add(jobId);
        }
    }

    /** A job is over, or its record is gone for a reason that only the store knows. */
    void gone(Job job, boolean known) {
        forget(job);
        if (!waiters.containsKey(job.jobId())) {
            return;
        }
        if (!known) {
            unknown.put(job.jobId(), world.nowMicros);
        } else if (job.cancelled) {
            cancelled(job.jobId());
        } else {
            done(job.jobId(), world.wallMicros);
        }
    }

    /** The job itself waits no more, as it is over. */
    private void forget(Job job) {
        Set<String> before = missing.remove(job);
        lastDone.remove(job);
        if (before == null) {
            return;
        }
        changed = true;
        for (String jobId : before) {
            Set<Job> jobs = waiters.get(jobId);
            jobs.remove(job);
            if (jobs.isEmpty()) {
                waiters.remove(jobId);
                unknown.remove(jobId);
            }
        }
    }

    public void found(SchedulerEvent.DependencyResolved found) {
        String jobId = found.jobId();
        asked.remove(jobId);
        if (!waiters.containsKey(jobId)) {
            return;
        }
        switch (found.standing()) {
            case DONE ->
                    done(
                            jobId,
                            found.overWallMicros() == 0
                                    ? world.wallMicros
                                    : found.overWallMicros());
            case CANCELLED -> cancelled(jobId);
            case OPEN, NOT_FOUND, UNREADABLE -> {
                if (!world.jobs.containsKey(jobId)) {
                    unknown.put(jobId, world.nowMicros + FIND_AGAIN_MICROS);
                }
            }
        }
    }

    /**
     * Cancels what must be, asks for what is not known, and has jobs inherit from those that need
     * them.
     */
    public void review() {
        while (!cancelled.isEmpty()) {
            String jobId = cancelled.poll();
            for (Job job : new ArrayList<>(waiters.getOrDefault(jobId, Set.of()))) {
                if (!job.cancelled) {
                    job.cancelled = true;
                    job.recording.needs(PersistenceState.WriteReason.LAUNCH);
                    world.log(
                            LogEntry.info(LogEvent.DEPENDENT_JOB_CANCELLED)
                                    .with("job", job.jobId())
                                    .with("dependency", jobId));
                }
                forget(job);
                if (waiters.containsKey(job.jobId())) {
                    cancelled.add(job.jobId());
                }
            }
        }
        ask();
        if (changed) {
            changed = false;
            inherit();
        }
    }

    private void ask() {
        if (unknown.isEmpty() || asked.size() >= MOST_FINDS) {
            return;
        }
        List<String> now = new ArrayList<>();
        for (Map.Entry<String, Long> entry : unknown.entrySet()) {
            if (entry.getValue() <= world.nowMicros && asked.size() + now.size() < MOST_FINDS) {
                now.add(entry.getKey());
            }
        }
        for (String jobId : now) {
            unknown.remove(jobId);
            // A record that came meanwhile tells the rest by itself.
            if (!world.jobs.containsKey(jobId) && asked.add(jobId)) {
                world.emit(new SchedulerAction.ResolveDependency(jobId));
            }
        }
    }

    /**
     * Each job gets the highest rank, and the earliest time by which it must be done, of all that
     * need it: priority inheritance, and the latest start on the longest path that remains. From
     * what waits last to what comes first.
     */
    private void inherit() {
        Map<String, Priority> ranks = new HashMap<>();
        Map<String, Long> dues = new HashMap<>();
        ArrayDeque<Job> open = new ArrayDeque<>(missing.keySet());
        while (!open.isEmpty()) {
            Job job = open.poll();
            Priority inherited = ranks.get(job.jobId());
            Priority priority =
                    inherited != null && inherited.compareTo(job.description.priority()) > 0
                            ? inherited
                            : job.description.priority();
            long due = Math.min(job.ownDueMicros(), dues.getOrDefault(job.jobId(), Long.MAX_VALUE));
            long start =
                    due == Long.MAX_VALUE
                            ? due
                            : due - (long) (job.description.estimatedRuntimeSeconds() * 1e6);
            for (String before : missing.get(job)) {
                boolean higher =
                        ranks.get(before) == null || ranks.get(before).compareTo(priority) < 0;
                boolean sooner = dues.getOrDefault(before, Long.MAX_VALUE) > start;
                if (!higher && !sooner) {
                    continue;
                }
                ranks.merge(before, priority, (a, b) -> a.compareTo(b) >= 0 ? a : b);
                dues.merge(before, start, Math::min);
                Job other = world.jobs.get(before);
                if (other != null && missing.containsKey(other)) {
                    open.add(other);
                }
            }
        }
        for (Job job : world.jobs.values()) {
            job.inherit(
                    ranks.getOrDefault(job.jobId(), job.description.priority()),
                    dues.getOrDefault(job.jobId(), Long.MAX_VALUE));
        }
        world.placementWorthTrying = true;
    }
}
