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
    private static final int MAX_LOOKUPS = 12;
    private static final long LOOKUP_RETRY_MICROS = 500_000;

    private final SchedulerState state;

    /** The jobs that wait for each job, in the order in which they came. */
    private final Map<String, Set<Job>> dependents = new LinkedHashMap<>();

    /** For each waiting job, those before it that are not known to be done. */
    private final Map<Job, Set<String>> unfinishedDependencies = new LinkedHashMap<>();

    /** By the time of day, when the last job before a waiting job was done as far as known. */
    private final Map<Job, Long> lastDone = new HashMap<>();

    /** Jobs the store is to be asked about, and when. */
    private final Map<String, Long> unknown = new LinkedHashMap<>();

    private final Set<String> resolving = new LinkedHashSet<>();

    /**
     * Cancelled jobs whose waiters are to be cancelled as well: a list, so that no chain is too
     * long.
     */
    private final ArrayDeque<String> onCancelled = new ArrayDeque<>();

    private boolean changed;

    public DependencyGraph(SchedulerState state) {
        this.state = state;
    }

    public int blockedCount() {
        return unfinishedDependencies.size();
    }

    /** A job has come; what it waits for may be known already, and others may wait for it. */
    void onJobAdded(Job job) {
        if (dependents.containsKey(job.jobId())) {
            if (job.isCancelled()) {
                onCancelled(job.jobId());
            } else if (job.persistence.isCompletionDurable()) {
                onDone(job.jobId(), state.wallMicros());
            }
            changed = true;
        }
        if (!job.isBlocked() || job.isOver()) {
            return;
        }
        changed = true;
        unfinishedDependencies.put(job, new LinkedHashSet<>(job.description.dependencies()));
        state.log(
                LogEntry.info(LogEvent.JOB_BLOCKED)
                        .with("job", job.jobId())
                        .with("dependencies", String.join(",", job.description.dependencies())));
        for (String before : job.description.dependencies()) {
            dependents.computeIfAbsent(before, jobId -> new LinkedHashSet<>()).add(job);
            Job other = state.jobs().get(before);
            if (other == null) {
                unknown.putIfAbsent(before, state.nowMicros());
            } else if (other.isCancelled()) {
                onCancelled.add(before);
            } else if (other.persistence.isCompletionDurable()) {
                onDone(before, state.wallMicros());
            }
        }
    }

    /** A job is done, and the store says so. */
    void onDone(String jobId, long wallMicros) {
        unknown.remove(jobId);
        Set<Job> jobs = dependents.remove(jobId);
        if (jobs == null) {
            return;
        }
        changed = true;
        for (Job job : jobs) {
            lastDone.merge(job, wallMicros, Math::max);
            Set<String> left = unfinishedDependencies.get(job);
            left.remove(jobId);
            if (left.isEmpty()) {
                unblock(job);
            }
        }
    }

    private void unblock(Job job) {
        unfinishedDependencies.remove(job);
        long at = Math.min(state.wallMicros(), lastDone.remove(job));
        job.unblock(state.nowMicros() - (state.wallMicros() - at), at);
        state.countJobArrival();
        state.demand().add(job, state.nowMicros());
        state.requestPlacement();
        state.log(LogEntry.info(LogEvent.JOB_UNBLOCKED).with("job", job.jobId()));
    }

    /** A job is cancelled, and the store says so: whatever needs it will never run. */
    void onCancelled(String jobId) {
        unknown.remove(jobId);
        if (dependents.containsKey(jobId)) {
            onCancelled.add(jobId);
        }
    }

    /** A job is over, or its record is gone for a reason that only the store knows. */
    void onJobRemoved(Job job, boolean outcomeKnown) {
        forget(job);
        if (!dependents.containsKey(job.jobId())) {
            return;
        }
        if (!outcomeKnown) {
            unknown.put(job.jobId(), state.nowMicros());
        } else if (job.isCancelled()) {
            onCancelled(job.jobId());
        } else {
            onDone(job.jobId(), state.wallMicros());
        }
    }

    /** The job itself waits no more, as it is over. */
    private void forget(Job job) {
        Set<String> before = unfinishedDependencies.remove(job);
        lastDone.remove(job);
        if (before == null) {
            return;
        }
        changed = true;
        for (String jobId : before) {
            Set<Job> jobs = dependents.get(jobId);
            jobs.remove(job);
            if (jobs.isEmpty()) {
                dependents.remove(jobId);
                unknown.remove(jobId);
            }
        }
    }

    public void onResolved(SchedulerEvent.DependencyResolved event) {
        String jobId = event.jobId();
        resolving.remove(jobId);
        if (!dependents.containsKey(jobId)) {
            return;
        }
        switch (event.state()) {
            case DONE ->
                    onDone(
                            jobId,
                            event.endedWallMicros() == 0
                                    ? state.wallMicros()
                                    : event.endedWallMicros());
            case CANCELLED -> onCancelled(jobId);
            case OPEN, NOT_FOUND, UNREADABLE -> {
                if (!state.jobs().containsKey(jobId)) {
                    unknown.put(jobId, state.nowMicros() + LOOKUP_RETRY_MICROS);
                }
            }
        }
    }

    /**
     * Cancels what must be, asks for what is not known, and has jobs inherit from those that need
     * them.
     */
    public void review() {
        while (!onCancelled.isEmpty()) {
            String jobId = onCancelled.poll();
            for (Job job : new ArrayList<>(dependents.getOrDefault(jobId, Set.of()))) {
                if (!job.isCancelled()) {
                    job.markCancelled();
                    job.persistence.requestWrite(PersistenceState.WriteReason.IMMEDIATE);
                    state.log(
                            LogEntry.info(LogEvent.DEPENDENT_JOB_CANCELLED)
                                    .with("job", job.jobId())
                                    .with("dependency", jobId));
                }
                forget(job);
                if (dependents.containsKey(job.jobId())) {
                    onCancelled.add(job.jobId());
                }
            }
        }
        resolveUnknown();
        if (changed) {
            changed = false;
            propagatePriorities();
        }
    }

    private void resolveUnknown() {
        if (unknown.isEmpty() || resolving.size() >= MAX_LOOKUPS) {
            return;
        }
        List<String> now = new ArrayList<>();
        for (Map.Entry<String, Long> entry : unknown.entrySet()) {
            if (entry.getValue() <= state.nowMicros()
                    && resolving.size() + now.size() < MAX_LOOKUPS) {
                now.add(entry.getKey());
            }
        }
        for (String jobId : now) {
            unknown.remove(jobId);
            // A record that came meanwhile tells the rest by itself.
            if (!state.jobs().containsKey(jobId) && resolving.add(jobId)) {
                state.emit(new SchedulerAction.ResolveDependency(jobId));
            }
        }
    }

    /**
     * Each job gets the highest rank, and the earliest time by which it must be done, of all that
     * need it: priority inheritance, and the latest start on the longest path that remains. From
     * what waits last to what comes first.
     */
    private void propagatePriorities() {
        Map<String, Priority> ranks = new HashMap<>();
        Map<String, Long> dues = new HashMap<>();
        ArrayDeque<Job> open = new ArrayDeque<>(unfinishedDependencies.keySet());
        while (!open.isEmpty()) {
            Job job = open.poll();
            Priority inherited = ranks.get(job.jobId());
            Priority priority =
                    inherited != null && inherited.compareTo(job.description.priority()) > 0
                            ? inherited
                            : job.description.priority();
            long due =
                    Math.min(
                            job.ownDeadlineMicros(),
                            dues.getOrDefault(job.jobId(), Long.MAX_VALUE));
            long start =
                    due == Long.MAX_VALUE
                            ? due
                            : due - (long) (job.description.estimatedRuntimeSeconds() * 1e6);
            for (String before : unfinishedDependencies.get(job)) {
                boolean higher =
                        ranks.get(before) == null || ranks.get(before).compareTo(priority) < 0;
                boolean sooner = dues.getOrDefault(before, Long.MAX_VALUE) > start;
                if (!higher && !sooner) {
                    continue;
                }
                ranks.merge(before, priority, (a, b) -> a.compareTo(b) >= 0 ? a : b);
                dues.merge(before, start, Math::min);
                Job other = state.jobs().get(before);
                if (other != null && unfinishedDependencies.containsKey(other)) {
                    open.add(other);
                }
            }
        }
        for (Job job : state.jobs().values()) {
            job.inheritFromDependents(
                    ranks.getOrDefault(job.jobId(), job.description.priority()),
                    dues.getOrDefault(job.jobId(), Long.MAX_VALUE));
        }
        state.requestPlacement();
    }
}
