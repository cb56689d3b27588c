package org.woadloom.core.jobs;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.core.placement.Resources;
import org.woadloom.core.quota.TeamQuota;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.Priority;
import org.woadloom.protocol.TaskStatus;
import org.woadloom.store.JobRecord;

/**
 * A job that has not ended, or that may still have tasks on machines.
 *
 * <p>{@link TaskSet} tracks completed and pending tasks, {@link AttemptTable} the attempts on
 * machines, and {@link PersistenceState} how far the stored record reflects both. Times in
 * microseconds are on the leader's monotonic clock; those with "wall" in their name are wall-clock
 * time.
 */
public final class Job {
    /** Placeholder for the time of an event that has not happened. */
    public static final long NEVER_MICROS = Long.MIN_VALUE;

    /** Returned by {@link #nextPending} when no task is pending. */
    public static final int NO_TASK = -1;

    private static final double MICROS_PER_SECOND = 1e6;

    /** How a job ended, as far as the store is known to hold it. */
    enum DurableOutcome {
        /** The store is not known to hold an end of the job. */
        NONE,
        DONE,
        CANCELLED,
        /** The store holds a final state that this leader has not read. */
        UNREAD
    }

    public final JobDescription description;

    /** Resources requested by each task. */
    public final Resources taskResources;

    public final TeamQuota teamQuota;
    public final long submittedWallMicros;
    public final long submittedMicros;
    public final PersistenceState persistence;

    /**
     * Names of the machines on which tasks of the job ended with an error; its tasks are not placed
     * there again.
     */
    public final Set<String> failedOnHosts = new LinkedHashSet<>();

    private final TaskSet tasks;
    private final AttemptTable attempts = new AttemptTable();
    private final PreemptionBackoff preemptionBackoff = new PreemptionBackoff();
    private long queuedSinceMicros;

    /**
     * Wall-clock time at which the last dependency was done; 0 while the job is blocked or if it
     * has none.
     */
    private long readyWallMicros;

    private boolean isBlocked;
    private Priority priority;
    private long deadlineMicros;

    /** In bytes; computed on first use, 0 before. */
    private int descriptionBytes;

    private boolean cancelled;
    private long cancelledSinceMicros = NEVER_MICROS;
    private boolean finished;
    private boolean withinGuarantee;
    private int failures;
    private long firstPlacedMicros = NEVER_MICROS;
    private long lastPlacedMicros = NEVER_MICROS;
    private long placeNotBeforeMicros;

    /**
     * Creates a job from its stored record, without the attempts that the record names.
     *
     * @param revision the record's revision in the store
     * @param submittedMicros the submission time on the leader's monotonic clock
     * @param markForPersistence called with the job when its record must be written
     */
    public Job(
            JobRecord record,
            long revision,
            TeamQuota team,
            long submittedMicros,
            Consumer<Job> markForPersistence) {
        this.description = record.description();
        this.taskResources = Resources.of(record.description());
        this.teamQuota = team;
        this.submittedWallMicros = record.submittedWallMicros();
        this.submittedMicros = submittedMicros;
        this.tasks = new TaskSet(description.taskCount(), record.completedTasks());
        this.cancelled = record.cancelled();
        this.persistence = new PersistenceState(revision, () -> markForPersistence.accept(this));
        this.readyWallMicros = record.readyWallMicros();
        this.isBlocked = !record.description().dependencies().isEmpty();
        this.queuedSinceMicros =
                readyWallMicros == 0
                        ? submittedMicros
                        : submittedMicros + Math.max(0, readyWallMicros - submittedWallMicros);
        this.priority = description.priority();
        this.deadlineMicros = ownDeadlineMicros();
    }

    public String jobId() {
        return description.jobId();
    }

    /**
     * Approximate size of the description in the compact format, in bytes. Every record of the job
     * contains the description.
     */
    public int descriptionBytes() {
        if (descriptionBytes == 0) {
            descriptionBytes = Cbor.maxJsonSize(description.withoutDependencies().toMap());
        }
        return descriptionBytes;
    }

    // Dependencies, and what the job inherits from its dependents.

    /**
     * True while a dependency is not known to be done. A blocked job neither holds nor requests
     * resources.
     */
    public boolean isBlocked() {
        return isBlocked;
    }

    /** Unblocks the job. The times are when the last of its dependencies was durably done. */
    void unblock(long nowMicros, long wallMicros) {
        isBlocked = false;
        queuedSinceMicros = Math.max(submittedMicros, nowMicros);
        readyWallMicros = wallMicros;
    }

    /**
     * The start of the job's waiting time: its submission, or when its last dependency was done.
     * Deadlines count from the submission instead.
     */
    public long queuedSinceMicros() {
        return queuedSinceMicros;
    }

    /**
     * The job's own priority, or the highest one of the jobs that depend on it if that is higher.
     */
    public Priority priority() {
        return priority;
    }

    /**
     * The earliest deadline set by the job itself or by the jobs that depend on it; {@link
     * Long#MAX_VALUE} if there is none.
     */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /** The deadline set by the job's own description; {@link Long#MAX_VALUE} for none. */
    long ownDeadlineMicros() {
        return description.deadlineSeconds() == null
                ? Long.MAX_VALUE
                : submittedMicros + (long) (description.deadlineSeconds() * MICROS_PER_SECOND);
    }

    /** Sets the highest priority and the earliest deadline of the jobs that depend on this one. */
    void inheritFromDependents(Priority highestPriority, long earliestDeadlineMicros) {
        Priority before = priority;
        priority =
                highestPriority.compareTo(description.priority()) > 0
                        ? highestPriority
                        : description.priority();
        deadlineMicros = Math.min(ownDeadlineMicros(), earliestDeadlineMicros);
        if (before != priority) {
            preemptionBackoff.reset();
            attempts.all().forEach(attempt -> attempt.machine.onPriorityChanged(attempt, before));
        }
    }

    // Termination.

    /** True when every task is completed; never true for a service. */
    public boolean isComplete() {
        return !description.isService() && tasks.areAllCompleted();
    }

    public boolean isCancelled() {
        return cancelled;
    }

    /**
     * The earliest time at which the job may have been cancelled; {@link #NEVER_MICROS} if unknown.
     */
    public long cancelledSinceMicros() {
        return cancelledSinceMicros;
    }

    /** Marks the job as cancelled at an unknown time. */
    void markCancelled() {
        cancelled = true;
    }

    /** Marks the job as cancelled at the given time or later. */
    void markCancelledSince(long micros) {
        cancelled = true;
        cancelledSinceMicros = micros;
    }

    /**
     * Decides how the job ended for the jobs that depend on it. A cancelled job is not done even if
     * all of its tasks have completed.
     */
    DurableOutcome durableOutcome() {
        if (persistence.isReplaced()) {
            return DurableOutcome.UNREAD;
        }
        if (cancelled) {
            return DurableOutcome.CANCELLED;
        }
        return persistence.isCompletionDurable() ? DurableOutcome.DONE : DurableOutcome.NONE;
    }

    /** True once the final state is in the store and the job has left the registry. */
    public boolean isRemoved() {
        return finished;
    }

    void markFinished() {
        finished = true;
    }

    /**
     * True when no further task is to run: the job is completed, cancelled or removed. Tasks that
     * have yet to stop may still be on machines.
     */
    public boolean isTerminal() {
        return finished || cancelled || isComplete();
    }

    // Tasks.

    public int completedTaskCount() {
        return tasks.completedCount();
    }

    public boolean isCompleted(int index) {
        return tasks.isCompleted(index);
    }

    /**
     * The completed tasks, which callers must not modify. The record in the store may lack the most
     * recent ones.
     */
    public BitSet completedTasks() {
        return tasks.completed();
    }

    /** Marks a task as completed; returns false if it already was. */
    public boolean markCompleted(int index) {
        return tasks.markCompleted(index);
    }

    /**
     * Number of tasks that have no attempt and are not completed; 0 while the job is blocked and
     * once it has ended.
     */
    public int pendingTaskCount() {
        return isTerminal() || isBlocked ? 0 : tasks.pendingCount();
    }

    /**
     * Returns the first task at or after the given index that is neither completed nor has an
     * attempt, or {@link #NO_TASK}.
     */
    public int nextPending(int from) {
        return tasks.nextPending(from);
    }

    public int runningTaskCount() {
        int running = 0;
        for (TaskAttempt attempt : attempts.all()) {
            if (attempt.reportedState() == TaskStatus.State.RUNNING) {
                running++;
            }
        }
        return running;
    }

    /** True if any task is completed or may be on a machine. */
    public boolean hasStarted() {
        return tasks.completedCount() > 0 || !attempts.isEmpty();
    }

    // Attempts.

    public Collection<TaskAttempt> attempts() {
        return attempts.all();
    }

    /** Returns the current attempt of a task, or null if it has none. */
    public TaskAttempt attempt(int index) {
        return attempts.get(index);
    }

    public int attemptCountInZone(String zone) {
        return attempts.countInZone(zone);
    }

    /** The zones of the machines that have, or may have, tasks of the job. */
    public Collection<String> occupiedZones() {
        return attempts.countByZone().keySet();
    }

    /** Number of attempts in each zone that has any. */
    public Map<String, Integer> attemptCountByZone() {
        return attempts.countByZone();
    }

    /** Adds an attempt, and charges its resources to its machine and to the team's quota. */
    public void addAttempt(TaskAttempt attempt) {
        if (isBlocked) {
            throw new IllegalStateException(
                    "job " + jobId() + " is blocked by a dependency and cannot have attempts");
        }
        if (firstPlacedMicros == NEVER_MICROS) {
            // The record does not say when an earlier leader placed the task; without this, the job
            // would count as having waited until now.
            firstPlacedMicros =
                    attempt.stage() == TaskAttempt.Stage.RECOVERED
                            ? queuedSinceMicros
                            : attempt.placedMicros;
        }
        lastPlacedMicros = attempt.placedMicros;
        attempts.add(attempt);
        tasks.assign(attempt.taskIndex);
        attempt.machine.add(attempt);
        teamQuota.onTaskPlaced(this);
    }

    /**
     * Reverts {@link #addAttempt}: releases the attempt's resources and makes its task pending
     * again.
     */
    public void removeAttempt(TaskAttempt attempt) {
        if (!attempts.remove(attempt)) {
            return;
        }
        tasks.release(attempt.taskIndex);
        attempt.machine.remove(attempt);
        teamQuota.subtractUsage(taskResources);
    }

    /** Allows the attempts that the durable record names to be started. */
    public void releaseDurableAttempts() {
        for (TaskAttempt attempt : attempts.all()) {
            if (attempt.stage() == TaskAttempt.Stage.PLANNED
                    && attempt.recordVersion <= persistence.durableVersion()) {
                attempt.markReady();
            }
        }
    }

    // Quota.

    /** Number of additional tasks of this job that the team's limit allows. */
    public int allowedTasks() {
        return allowedTasks(Resources.NONE);
    }

    /**
     * Like {@link #allowedTasks()}, where the first tasks use the given resources, which are
     * already reserved for them.
     */
    public int allowedTasks(Resources credit) {
        return teamQuota.allowedTasks(taskResources, this, credit);
    }

    /** True if the job, together with the team's earlier jobs, fits into the team's guarantee. */
    public boolean isWithinGuarantee() {
        return withinGuarantee;
    }

    public void setWithinGuarantee(boolean fits) {
        withinGuarantee = fits;
    }

    // Placement.

    /**
     * When this leader first placed a task of the job or found one in its record; {@link
     * #NEVER_MICROS} if it has not.
     */
    public long firstPlacedMicros() {
        return firstPlacedMicros;
    }

    /**
     * When this leader last placed a task of the job or found one in its record; {@link
     * #NEVER_MICROS} if it has not.
     */
    public long lastPlacedMicros() {
        return lastPlacedMicros;
    }

    /**
     * The start of the current wait for a placement: when the last task was placed, or, if no task
     * is completed or on a machine, when the job was queued.
     */
    public long waitingSinceMicros() {
        return hasStarted() ? Math.max(queuedSinceMicros, lastPlacedMicros) : queuedSinceMicros;
    }

    /** The earliest time at which tasks of the job may be placed; a retry delay. */
    public long placeNotBeforeMicros() {
        return placeNotBeforeMicros;
    }

    public void placeNotBefore(long micros) {
        placeNotBeforeMicros = micros;
    }

    /** Number of task attempts that ended with an error. */
    public int taskFailureCount() {
        return failures;
    }

    public void countTaskFailure() {
        failures++;
    }

    /** Records that a task of the job is stopped in favour of another job. */
    public void onPreempted(long nowMicros) {
        preemptionBackoff.onPreempted(nowMicros);
    }

    /** True while the job waits after a preemption; each further preemption lengthens the wait. */
    public boolean isBackingOff(long nowMicros) {
        return preemptionBackoff.isActive(nowMicros);
    }

    // Stored record.

    /** Returns the record to write now, as the leader of the given term. */
    public JobRecord toRecord(long term, long version) {
        return new JobRecord(
                isBlocked ? description : description.withoutDependencies(),
                submittedWallMicros,
                readyWallMicros,
                cancelled,
                (BitSet) tasks.completed().clone(),
                recordedAttempts(),
                runningTaskCount(),
                term,
                version);
    }

    /**
     * The attempts in the order of their tasks, those with the same machine and attempt number
     * grouped into one entry.
     */
    private List<JobRecord.RecordedAttempt> recordedAttempts() {
        List<TaskAttempt> ordered = new ArrayList<>(attempts.all());
        ordered.sort(Comparator.comparingInt(attempt -> attempt.taskIndex));
        Map<String, JobRecord.RecordedAttempt> groups = new LinkedHashMap<>();
        for (TaskAttempt attempt : ordered) {
            String host = attempt.machine.host;
            groups.computeIfAbsent(
                            host + " " + attempt.attemptNumber,
                            key ->
                                    new JobRecord.RecordedAttempt(
                                            host, attempt.attemptNumber, new BitSet()))
                    .tasks()
                    .set(attempt.taskIndex);
        }
        return List.copyOf(groups.values());
    }
}
