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
 * A job that is not over, or that may still have tasks on machines.
 *
 * <p>{@link TaskSet} has what is completed and pending, {@link AttemptTable} what is on machines,
 * {@link PersistenceState} how the stored record stands against both. All times in microseconds are
 * of the leader's own clock, those named "wall" of the time of day.
 */
public final class Job {
    /** A time that has not come. */
    public static final long NEVER_MICROS = Long.MIN_VALUE;

    /** What {@link #nextPending} returns when no task is pending. */
    public static final int NO_TASK = -1;

    private static final double MICROS_PER_SECOND = 1e6;

    public final JobDescription description;

    /** What one task takes. */
    public final Resources taskResources;

    public final TeamQuota teamQuota;
    public final long submittedWallMicros;
    public final long submittedMicros;
    public final PersistenceState persistence;

    /** Names of the machines on which tasks of the job ended with an error. */
    public final Set<String> failedOnHosts = new LinkedHashSet<>();

    private final TaskSet tasks;
    private final AttemptTable attempts = new AttemptTable();
    private final PreemptionBackoff preemptionBackoff = new PreemptionBackoff();
    private long queuedSinceMicros;

    /** When its last dependency was done by the time of day; 0 while it waits or if it has none. */
    private long readyWallMicros;

    private boolean isBlocked;
    private Priority priority;
    private long deadlineMicros;

    /** In bytes, 0 until it is asked for. */
    private int descriptionSize;

    private boolean cancelled;
    private long cancelledSinceMicros = NEVER_MICROS;
    private boolean finished;
    private boolean withinGuarantee;
    private int failures;
    private long firstPlacedMicros = NEVER_MICROS;
    private long lastPlacedMicros = NEVER_MICROS;
    private long placeNotBeforeMicros;

    /**
     * A job as its record has it, without the attempts that the record names.
     *
     * @param revision the record's revision
     * @param submittedMicros when it was submitted, by the leader's clock
     * @param markForPersistence is given the job when its record must be written
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
     * How many bytes the description takes in the compact format, about: it is in every record of
     * the job.
     */
    public int descriptionSize() {
        if (descriptionSize == 0) {
            descriptionSize = Cbor.maxJsonSize(description.withoutDependencies().toMap());
        }
        return descriptionSize;
    }

    // Dependencies, and what jobs that depend on this one ask of it.

    /** True while a dependency is not known to be done: the job holds and asks for no resources. */
    public boolean isBlocked() {
        return isBlocked;
    }

    /** Every dependency is done, durably, the last of them at the given times. */
    void unblock(long nowMicros, long wallMicros) {
        isBlocked = false;
        queuedSinceMicros = Math.max(submittedMicros, nowMicros);
        readyWallMicros = wallMicros;
    }

    /**
     * From when on the job's times count, its deadline apart: its submission, or when its last
     * dependency was done.
     */
    public long queuedSinceMicros() {
        return queuedSinceMicros;
    }

    /** Its own priority, or a higher one of a job that depends on it. */
    public Priority priority() {
        return priority;
    }

    /**
     * By when it must be done for itself or for the jobs that depend on it; {@link Long#MAX_VALUE}
     * for no deadline.
     */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /** The deadline of its own description; {@link Long#MAX_VALUE} for none. */
    long ownDeadlineMicros() {
        return description.deadlineSeconds() == null
                ? Long.MAX_VALUE
                : submittedMicros + (long) (description.deadlineSeconds() * MICROS_PER_SECOND);
    }

    /** Takes over the highest priority and the earliest deadline of the jobs that depend on it. */
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

    // Its end.

    /** True when every task is completed, which never is the case for a service. */
    public boolean isComplete() {
        return !description.isService() && tasks.areAllCompleted();
    }

    public boolean isCancelled() {
        return cancelled;
    }

    /** The job was cancelled at this moment or later; {@link #NEVER_MICROS} if not known. */
    public long cancelledSinceMicros() {
        return cancelledSinceMicros;
    }

    /** The job is cancelled, and when is not known. */
    void markCancelled() {
        cancelled = true;
    }

    /** The job was cancelled at the given time or later. */
    void markCancelledSince(long micros) {
        cancelled = true;
        cancelledSinceMicros = micros;
    }

    /** True once the final state is in the store and the scheduler no longer has the job. */
    public boolean isRemoved() {
        return finished;
    }

    void markFinished() {
        finished = true;
    }

    /** True when nothing is left to run: only tasks that must stop may still be somewhere. */
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
     * The completed tasks, to be read only. The record in the store may lack the latest of them.
     */
    public BitSet completedTasks() {
        return tasks.completed();
    }

    /** A task has completed; false if that was known. */
    public boolean markCompleted(int index) {
        return tasks.complete(index);
    }

    /** How many tasks could be placed now as far as the job itself is concerned. */
    public int pendingTaskCount() {
        return isTerminal() || isBlocked ? 0 : tasks.pendingCount();
    }

    /** The first task from the given index on that has no attempt, or {@link #NO_TASK}. */
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

    /** True if any task is completed, or is or may be on a machine. */
    public boolean hasStarted() {
        return tasks.completedCount() > 0 || !attempts.isEmpty();
    }

    // Attempts.

    public Collection<TaskAttempt> attempts() {
        return attempts.all();
    }

    /** The present attempt of a task, or null. */
    public TaskAttempt attempt(int index) {
        return attempts.of(index);
    }

    public int attemptCountInZone(String zone) {
        return attempts.countInZone(zone);
    }

    /** The zones in which tasks of the job are or may be. */
    public Collection<String> occupiedZones() {
        return attempts.countByZone().keySet();
    }

    /** How many tasks are or may be in each zone. */
    public Map<String, Integer> attemptCountByZone() {
        return attempts.countByZone();
    }

    /** Adds an attempt here, to its machine and to the team's use. */
    public void addAttempt(TaskAttempt attempt) {
        if (isBlocked) {
            throw new IllegalStateException(
                    "job " + jobId() + " can't be placed before its dependencies are done");
        }
        if (firstPlacedMicros == NEVER_MICROS) {
            // When an earlier leader placed it is not known; the job is not counted as having
            // waited until now.
            firstPlacedMicros =
                    attempt.stage() == TaskAttempt.Stage.RECOVERED
                            ? queuedSinceMicros
                            : attempt.placedMicros;
        }
        lastPlacedMicros = attempt.placedMicros;
        attempts.add(attempt);
        tasks.take(attempt.taskIndex);
        attempt.machine.add(attempt);
        teamQuota.onTaskPlaced(this);
    }

    /** Removes an attempt wherever {@link #addAttempt} put it; its task is pending again. */
    public void removeAttempt(TaskAttempt attempt) {
        if (!attempts.remove(attempt)) {
            return;
        }
        tasks.release(attempt.taskIndex);
        attempt.machine.remove(attempt);
        teamQuota.subtractUsage(taskResources);
    }

    /** Attempts that the durable record names may be started. */
    public void releaseDurableAttempts() {
        for (TaskAttempt attempt : attempts.all()) {
            if (attempt.stage() == TaskAttempt.Stage.PLANNED
                    && attempt.recordVersion <= persistence.durableVersion()) {
                attempt.markReady();
            }
        }
    }

    // Quota.

    /** How many more of its tasks the team's limit allows. */
    public int allowedTasks() {
        return allowedTasks(Resources.NONE);
    }

    /** The same, where the first tasks give back what was reserved for them. */
    public int allowedTasks(Resources credit) {
        return teamQuota.allowedTasks(taskResources, this, credit);
    }

    /** True if the job fits into its team's guarantee together with the team's earlier jobs. */
    public boolean isWithinGuarantee() {
        return withinGuarantee;
    }

    public void setWithinGuarantee(boolean fits) {
        withinGuarantee = fits;
    }

    // When it is placed.

    /**
     * When a task of the job was first placed, as far as this leader knows; {@link #NEVER_MICROS}
     * for never.
     */
    public long firstPlacedMicros() {
        return firstPlacedMicros;
    }

    /**
     * When a task of the job was last placed, or found in its record by this leader; {@link
     * #NEVER_MICROS} for never.
     */
    public long lastPlacedMicros() {
        return lastPlacedMicros;
    }

    /**
     * Since when nothing of the job was placed: since its last task, or, where it has none that is
     * completed or on a machine, since it was queued.
     */
    public long waitingSinceMicros() {
        return hasStarted() ? Math.max(queuedSinceMicros, lastPlacedMicros) : queuedSinceMicros;
    }

    /** No task of the job is placed before this time. */
    public long placeNotBeforeMicros() {
        return placeNotBeforeMicros;
    }

    public void placeNotBefore(long micros) {
        placeNotBeforeMicros = micros;
    }

    /** How many of its tasks ended with an error. */
    public int taskFailureCount() {
        return failures;
    }

    /** A task of the job ended with an error. */
    public void countTaskFailure() {
        failures++;
    }

    /** A task of the job is stopped for another job. */
    public void onPreempted(long nowMicros) {
        preemptionBackoff.onPreempted(nowMicros);
    }

    /** True for a while after tasks were preempted, longer each time. */
    public boolean isBackingOff(long nowMicros) {
        return preemptionBackoff.isActive(nowMicros);
    }

    // Its record.

    /** The record as it should be written now, by the leader of the given term. */
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

    /** The attempts, those of the same machine and number as one, in the order of the tasks. */
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
