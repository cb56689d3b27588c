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
 * Tracks the jobs that wait for their dependencies.
 *
 * <p>A job is unblocked once each of its dependencies is <em>durably</em> done: either the store
 * holds its final state, or a write of its record with all tasks completed was acknowledged. A
 * dependency that this leader does not know may have ended or may not have been read yet, so the
 * store is asked. If a dependency is cancelled, all jobs that depend on it, directly or indirectly,
 * are cancelled too.
 */
public final class DependencyGraph {
    /** Maximum number of concurrent lookups in the store. */
    private static final int MAX_LOOKUPS = 12;

    private static final long LOOKUP_RETRY_MICROS = 500_000;

    private final SchedulerState state;

    /** The jobs that wait for each dependency, in order of arrival. */
    private final Map<String, Set<Job>> dependents = new LinkedHashMap<>();

    /** The dependencies of each blocked job that are not known to be done. */
    private final Map<Job, Set<String>> unfinishedDependencies = new LinkedHashMap<>();

    /**
     * Wall-clock time at which the latest dependency of a blocked job that is known to be done
     * ended.
     */
    private final Map<Job, Long> lastDoneWallMicros = new HashMap<>();

    /** Dependencies to look up in the store, with the earliest time of the lookup. */
    private final Map<String, Long> lookupDueMicros = new LinkedHashMap<>();

    /** Dependencies with a lookup in flight. */
    private final Set<String> lookupsInFlight = new LinkedHashSet<>();

    /**
     * Cancelled jobs whose dependents have yet to be cancelled. A queue instead of recursion,
     * because a chain of thousands of jobs would overflow the stack.
     */
    private final ArrayDeque<String> cancelledDependencies = new ArrayDeque<>();

    private boolean prioritiesOutdated;

    public DependencyGraph(SchedulerState state) {
        this.state = state;
    }

    /** Number of jobs that wait for dependencies. */
    public int blockedCount() {
        return unfinishedDependencies.size();
    }

    /** Registers a job: looks up its dependencies, and notifies jobs that already wait for it. */
    void onJobAdded(Job job) {
        if (dependents.containsKey(job.jobId())) {
            onOutcome(job);
            prioritiesOutdated = true;
        }
        if (!job.isBlocked() || job.isTerminal()) {
            return;
        }
        prioritiesOutdated = true;
        unfinishedDependencies.put(job, new LinkedHashSet<>(job.description.dependencies()));
        state.log(
                LogEntry.info(LogEvent.JOB_BLOCKED)
                        .with("job", job.jobId())
                        .with("dependencies", String.join(",", job.description.dependencies())));
        for (String dependency : job.description.dependencies()) {
            dependents.computeIfAbsent(dependency, jobId -> new LinkedHashSet<>()).add(job);
            Job dependencyJob = state.jobs().get(dependency);
            if (dependencyJob == null) {
                lookupDueMicros.putIfAbsent(dependency, state.nowMicros());
            } else {
                onOutcome(dependencyJob);
            }
        }
    }

    /** Passes the outcome of a job on to its dependents, if the store is known to hold one. */
    void onOutcome(Job job) {
        switch (job.durableOutcome()) {
            case DONE -> onDone(job.jobId(), state.wallMicros());
            case CANCELLED -> onCancelled(job.jobId());
            case NONE, UNREAD -> {
                // The dependents keep waiting.
            }
        }
    }

    /** Marks a job as durably done and unblocks the jobs that waited only for it. */
    private void onDone(String jobId, long wallMicros) {
        lookupDueMicros.remove(jobId);
        Set<Job> jobs = dependents.remove(jobId);
        if (jobs == null) {
            return;
        }
        prioritiesOutdated = true;
        for (Job job : jobs) {
            lastDoneWallMicros.merge(job, wallMicros, Math::max);
            Set<String> remaining = unfinishedDependencies.get(job);
            remaining.remove(jobId);
            if (remaining.isEmpty()) {
                unblock(job);
            }
        }
    }

    private void unblock(Job job) {
        unfinishedDependencies.remove(job);
        long readyWallMicros = Math.min(state.wallMicros(), lastDoneWallMicros.remove(job));
        job.unblock(state.nowMicros() - (state.wallMicros() - readyWallMicros), readyWallMicros);
        state.countJobArrival();
        state.demandEstimator().add(job, state.nowMicros());
        state.requestPlacement();
        state.log(LogEntry.info(LogEvent.JOB_UNBLOCKED).with("job", job.jobId()));
    }

    /** Marks a job as durably cancelled; its dependents are cancelled in the next pass. */
    private void onCancelled(String jobId) {
        lookupDueMicros.remove(jobId);
        if (dependents.containsKey(jobId)) {
            cancelledDependencies.add(jobId);
        }
    }

    /**
     * Handles a job that leaves the registry. If its outcome is unknown, the store is asked on
     * behalf of its dependents.
     */
    void onJobRemoved(Job job, boolean outcomeKnown) {
        stopTracking(job);
        if (!dependents.containsKey(job.jobId())) {
            return;
        }
        if (outcomeKnown) {
            onOutcome(job);
        } else {
            lookupDueMicros.put(job.jobId(), state.nowMicros());
        }
    }

    /** Stops tracking the dependencies of a job that has ended. */
    private void stopTracking(Job job) {
        Set<String> dependencies = unfinishedDependencies.remove(job);
        lastDoneWallMicros.remove(job);
        if (dependencies == null) {
            return;
        }
        prioritiesOutdated = true;
        for (String jobId : dependencies) {
            Set<Job> jobs = dependents.get(jobId);
            jobs.remove(job);
            if (jobs.isEmpty()) {
                dependents.remove(jobId);
                lookupDueMicros.remove(jobId);
            }
        }
    }

    /** Handles the result of a lookup; an inconclusive one is repeated later. */
    public void onResolved(SchedulerEvent.DependencyResolved event) {
        String jobId = event.jobId();
        lookupsInFlight.remove(jobId);
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
                    lookupDueMicros.put(jobId, state.nowMicros() + LOOKUP_RETRY_MICROS);
                }
            }
        }
    }

    /**
     * Cancels the dependents of cancelled jobs, looks up unknown dependencies, and propagates
     * priorities and deadlines; called once per scheduling pass.
     */
    public void processChanges() {
        cancelDependents();
        startLookups();
        if (prioritiesOutdated) {
            prioritiesOutdated = false;
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
                stopTracking(job);
                if (dependents.containsKey(job.jobId())) {
                    cancelledDependencies.add(job.jobId());
                }
            }
        }
    }

    private void startLookups() {
        if (lookupDueMicros.isEmpty() || lookupsInFlight.size() >= MAX_LOOKUPS) {
            return;
        }
        for (String jobId : dueLookups()) {
            lookupDueMicros.remove(jobId);
            // A job whose record has arrived since is followed in the registry instead.
            if (!state.jobs().containsKey(jobId) && lookupsInFlight.add(jobId)) {
                state.emit(new SchedulerAction.ResolveDependency(jobId));
            }
        }
    }

    private List<String> dueLookups() {
        List<String> due = new ArrayList<>();
        for (Map.Entry<String, Long> entry : lookupDueMicros.entrySet()) {
            if (entry.getValue() <= state.nowMicros()
                    && lookupsInFlight.size() + due.size() < MAX_LOOKUPS) {
                due.add(entry.getKey());
            }
        }
        return due;
    }

    /**
     * Passes priorities and deadlines on from dependents to dependencies: a job inherits the
     * highest priority of its dependents, and the earliest deadline that leaves each of them its
     * estimated runtime. A job passes on what it inherits after all of its dependents have done so,
     * so each dependency is followed once.
     */
    private void propagatePriorities() {
        Map<String, Priority> priorities = new HashMap<>();
        Map<String, Long> deadlines = new HashMap<>();
        Map<String, Integer> pendingDependents = new HashMap<>();
        ArrayDeque<Job> queue = new ArrayDeque<>();
        for (Job job : unfinishedDependencies.keySet()) {
            Set<Job> waiting = dependents.get(job.jobId());
            if (waiting == null) {
                queue.add(job);
            } else {
                pendingDependents.put(job.jobId(), waiting.size());
            }
        }
        while (!queue.isEmpty()) {
            Job job = queue.poll();
            Priority own = job.description.priority();
            Priority priority = higherOf(own, priorities.getOrDefault(job.jobId(), own));
            long latestStart =
                    latestStartMicros(job, deadlines.getOrDefault(job.jobId(), Long.MAX_VALUE));
            for (String dependency : unfinishedDependencies.get(job)) {
                priorities.merge(dependency, priority, DependencyGraph::higherOf);
                deadlines.merge(dependency, latestStart, Math::min);
                Integer pending = pendingDependents.computeIfPresent(dependency, (id, n) -> n - 1);
                if (pending != null && pending == 0) {
                    queue.add(state.jobs().get(dependency));
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

    private static Priority higherOf(Priority one, Priority other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** The latest start that leaves a job its estimated runtime before the earlier deadline. */
    private static long latestStartMicros(Job job, long inheritedDeadlineMicros) {
        long deadline = Math.min(job.ownDeadlineMicros(), inheritedDeadlineMicros);
        return deadline == Long.MAX_VALUE
                ? deadline
                : deadline - (long) (job.description.estimatedRuntimeSeconds() * 1e6);
    }
}
