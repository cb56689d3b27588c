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
 * Jobs that wait for their dependencies.
 *
 * <p>A job is unblocked once each of its dependencies is <em>durably</em> done: a final state in
 * the store, or a record that says that all tasks are completed and was acknowledged. That this
 * leader does not have a job proves nothing, so the store is asked. If a dependency is cancelled,
 * so is the job, and whatever depends on it.
 */
public final class DependencyGraph {
    /** How many lookups in the store may be open at a time. */
    private static final int MAX_LOOKUPS = 12;

    private static final long LOOKUP_RETRY_MICROS = 500_000;

    private final SchedulerState state;

    /** By dependency, the jobs that wait for it, in the order in which they came. */
    private final Map<String, Set<Job>> dependents = new LinkedHashMap<>();

    /** For each blocked job, its dependencies that are not known to be done. */
    private final Map<Job, Set<String>> unfinishedDependencies = new LinkedHashMap<>();

    /** By the time of day, when the last dependency of a blocked job was done as far as known. */
    private final Map<Job, Long> lastDoneWallMicros = new HashMap<>();

    /** Dependencies that the store is to be asked about, and when. */
    private final Map<String, Long> lookUpAtMicros = new LinkedHashMap<>();

    /** Dependencies that the store was asked about. */
    private final Set<String> resolving = new LinkedHashSet<>();

    /**
     * Cancelled jobs whose dependents are to be cancelled as well: a queue, so that no chain is too
     * long for the stack.
     */
    private final ArrayDeque<String> cancelledDependencies = new ArrayDeque<>();

    private boolean changed;

    public DependencyGraph(SchedulerState state) {
        this.state = state;
    }

    /** How many jobs wait for dependencies. */
    public int blockedCount() {
        return unfinishedDependencies.size();
    }

    /** A job has come; its dependencies may be known already, and others may depend on it. */
    void onJobAdded(Job job) {
        if (dependents.containsKey(job.jobId())) {
            if (job.isCancelled()) {
                onCancelled(job.jobId());
            } else if (job.persistence.isCompletionDurable()) {
                onDone(job.jobId(), state.wallMicros());
            }
            changed = true;
        }
        if (!job.isBlocked() || job.isTerminal()) {
            return;
        }
        changed = true;
        unfinishedDependencies.put(job, new LinkedHashSet<>(job.description.dependencies()));
        state.log(
                LogEntry.info(LogEvent.JOB_BLOCKED)
                        .with("job", job.jobId())
                        .with("dependencies", String.join(",", job.description.dependencies())));
        for (String dependency : job.description.dependencies()) {
            dependents.computeIfAbsent(dependency, jobId -> new LinkedHashSet<>()).add(job);
            Job other = state.jobs().get(dependency);
            if (other == null) {
                lookUpAtMicros.putIfAbsent(dependency, state.nowMicros());
            } else if (other.isCancelled()) {
                cancelledDependencies.add(dependency);
            } else if (other.persistence.isCompletionDurable()) {
                onDone(dependency, state.wallMicros());
            }
        }
    }

    /** A job is done, and the store says so. */
    void onDone(String jobId, long wallMicros) {
        lookUpAtMicros.remove(jobId);
        Set<Job> jobs = dependents.remove(jobId);
        if (jobs == null) {
            return;
        }
        changed = true;
        for (Job job : jobs) {
            lastDoneWallMicros.merge(job, wallMicros, Math::max);
            Set<String> left = unfinishedDependencies.get(job);
            left.remove(jobId);
            if (left.isEmpty()) {
                unblock(job);
            }
        }
    }

    private void unblock(Job job) {
        unfinishedDependencies.remove(job);
        long at = Math.min(state.wallMicros(), lastDoneWallMicros.remove(job));
        job.unblock(state.nowMicros() - (state.wallMicros() - at), at);
        state.countJobArrival();
        state.demandEstimator().add(job, state.nowMicros());
        state.requestPlacement();
        state.log(LogEntry.info(LogEvent.JOB_UNBLOCKED).with("job", job.jobId()));
    }

    /** A job is cancelled, and the store says so: whatever depends on it will never run. */
    void onCancelled(String jobId) {
        lookUpAtMicros.remove(jobId);
        if (dependents.containsKey(jobId)) {
            cancelledDependencies.add(jobId);
        }
    }

    /** A job is over, or its record is gone for a reason that only the store knows. */
    void onJobRemoved(Job job, boolean outcomeKnown) {
        forget(job);
        if (!dependents.containsKey(job.jobId())) {
            return;
        }
        if (!outcomeKnown) {
            lookUpAtMicros.put(job.jobId(), state.nowMicros());
        } else if (job.isCancelled()) {
            onCancelled(job.jobId());
        } else {
            onDone(job.jobId(), state.wallMicros());
        }
    }

    /** The job itself waits for nothing more, as it is over. */
    private void forget(Job job) {
        Set<String> before = unfinishedDependencies.remove(job);
        lastDoneWallMicros.remove(job);
        if (before == null) {
            return;
        }
        changed = true;
        for (String jobId : before) {
            Set<Job> jobs = dependents.get(jobId);
            jobs.remove(job);
            if (jobs.isEmpty()) {
                dependents.remove(jobId);
                lookUpAtMicros.remove(jobId);
            }
        }
    }

    /** The store's answer about a dependency; without a clear one it is asked again. */
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
                    lookUpAtMicros.put(jobId, state.nowMicros() + LOOKUP_RETRY_MICROS);
                }
            }
        }
    }

    /**
     * Cancels what depends on cancelled jobs, asks the store for what is not known, and has jobs
     * inherit from their dependents; called once a pass.
     */
    public void processChanges() {
        cancelDependents();
        resolveUnknown();
        if (changed) {
            changed = false;
            propagatePriorities();
        }
    }

    private void cancelDependents() {
        while (!cancelledDependencies.isEmpty()) {
            String jobId = cancelledDependencies.poll();
            for (Job job : new ArrayList<>(dependents.getOrDefault(jobId, Set.of()))) {
                if (!job.isCancelled()) {
                    job.markCancelled();
                    job.persistence.requestWrite(PersistenceState.WriteUrgency.IMMEDIATE);
                    state.log(
                            LogEntry.info(LogEvent.DEPENDENT_JOB_CANCELLED)
                                    .with("job", job.jobId())
                                    .with("dependency", jobId));
                }
                forget(job);
                if (dependents.containsKey(job.jobId())) {
                    cancelledDependencies.add(job.jobId());
                }
            }
        }
    }

    private void resolveUnknown() {
        if (lookUpAtMicros.isEmpty() || resolving.size() >= MAX_LOOKUPS) {
            return;
        }
        for (String jobId : dueLookups()) {
            lookUpAtMicros.remove(jobId);
            // If its record has come meanwhile, the job itself will report its end.
            if (!state.jobs().containsKey(jobId) && resolving.add(jobId)) {
                state.emit(new SchedulerAction.ResolveDependency(jobId));
            }
        }
    }

    private List<String> dueLookups() {
        List<String> due = new ArrayList<>();
        for (Map.Entry<String, Long> entry : lookUpAtMicros.entrySet()) {
            if (entry.getValue() <= state.nowMicros()
                    && resolving.size() + due.size() < MAX_LOOKUPS) {
                due.add(entry.getKey());
            }
        }
        return due;
    }

    /**
     * Each job gets the highest priority of all that depend on it, and the earliest deadline that
     * leaves each of them its estimated time. Goes from dependents to dependencies.
     */
    private void propagatePriorities() {
        Map<String, Priority> priorities = new HashMap<>();
        Map<String, Long> deadlines = new HashMap<>();
        ArrayDeque<Job> open = new ArrayDeque<>(unfinishedDependencies.keySet());
        while (!open.isEmpty()) {
            Job job = open.poll();
            Priority inherited = priorities.get(job.jobId());
            Priority priority =
                    inherited != null && inherited.compareTo(job.description.priority()) > 0
                            ? inherited
                            : job.description.priority();
            long deadline =
                    Math.min(
                            job.ownDeadlineMicros(),
                            deadlines.getOrDefault(job.jobId(), Long.MAX_VALUE));
            long latestStart =
                    deadline == Long.MAX_VALUE
                            ? deadline
                            : deadline - (long) (job.description.estimatedRuntimeSeconds() * 1e6);
            for (String dependency : unfinishedDependencies.get(job)) {
                boolean higher =
                        priorities.get(dependency) == null
                                || priorities.get(dependency).compareTo(priority) < 0;
                boolean sooner = deadlines.getOrDefault(dependency, Long.MAX_VALUE) > latestStart;
                if (!higher && !sooner) {
                    continue;
                }
                priorities.merge(dependency, priority, (a, b) -> a.compareTo(b) >= 0 ? a : b);
                deadlines.merge(dependency, latestStart, Math::min);
                Job other = state.jobs().get(dependency);
                if (other != null && unfinishedDependencies.containsKey(other)) {
                    open.add(other);
                }
            }
        }
        for (Job job : state.jobs().values()) {
            job.inheritFromDependents(
                    priorities.getOrDefault(job.jobId(), job.description.priority()),
                    deadlines.getOrDefault(job.jobId(), Long.MAX_VALUE));
        }
        state.requestPlacement();
    }
}
