package org.woadloom.core.jobs;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.agrona.collections.Int2ObjectHashMap;
import org.woadloom.core.placement.Resources;
import org.woadloom.core.quota.TeamQuota;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.Priority;
import org.woadloom.protocol.TaskStatus;
import org.woadloom.store.JobRecord;

/** A job that is not over, or that may still have tasks on machines. */
public final class Job {
    public static final long NEVER_MICROS = Long.MIN_VALUE;
    private static final long PREEMPTION_BACKOFF_MICROS = 1_500_000;
    private static final long PREEMPTION_MEMORY_MICROS = 30_000_000;

    public final JobDescription description;
    public final Resources taskResources;
    public final TeamQuota team;
    public final long submittedWallMicros;
    public final long submittedMicros;

    /**
     * From when on the job's times count, its deadline apart: its submission, or when the last job
     * before it was done.
     */
    private long queuedSinceMicros;

    /**
     * When the last job before it was done by the time of day, 0 where it waits still or waited for
     * none.
     */
    private long readyWallMicros;

    /** Must not start: a job before it is not known to be done. */
    private boolean isBlocked;

    /** Its own rank, or a higher one of a job that needs it. */
    private Priority priority;

    /**
     * By when it has to be done for itself, or for the jobs that need it; {@link Long#MAX_VALUE}
     * for no such time.
     */
    private long deadlineMicros;

    private int descriptionSize;

    /** Tasks that are done: a subset of this may not be durable yet. */
    public final BitSet completedTasks;

    private int completedCount;
    public final PersistenceState persistence;

    /** Done or placed: what is clear here is pending. */
    private final BitSet takenTasks = new BitSet();

    private int takenCount;
    private final Int2ObjectHashMap<TaskAttempt> attempts = new Int2ObjectHashMap<>();
    private final Map<String, Integer> attemptsByZone = new LinkedHashMap<>();
    boolean cancelled;

    /** The job was cancelled at this moment or later. */
    long cancelledSinceMicros = Long.MIN_VALUE;

    /** The final state is in the store, and the job is no longer among those of the core. */
    boolean finished;

    /** Fits into the team's guarantee together with the team's earlier jobs. */
    boolean withinGuarantee;

    int failures;
    private long firstPlacedMicros = NEVER_MICROS;
    private int preemptions;
    private long preemptedMicros = Long.MIN_VALUE / 2;
    long placeNotBeforeMicros;

    /** Machines on which tasks of the job ended with an error. */
    public final Set<String> failedOn = new LinkedHashSet<>();

    /**
     * @param unrecorded where the job puts itself when its record needs anything
     */
    public Job(
            JobRecord record,
            long revision,
            TeamQuota team,
            long submittedMicros,
            Consumer<Job> markForPersistence) {
        this.description = record.description();
        this.taskResources = Resources.of(record.description());
        this.team = team;
        this.submittedWallMicros = record.submittedWallMicros();
        this.submittedMicros = submittedMicros;
        this.completedTasks = (BitSet) record.done().clone();
        this.takenTasks.or(record.done());
        this.takenCount = takenTasks.cardinality();
        this.cancelled = record.cancelled();
        this.persistence = new PersistenceState(revision, () -> markForPersistence.accept(this));
        this.completedCount = completedTasks.cardinality();
        this.readyWallMicros = record.readyWallMicros();
        this.isBlocked = !record.description().dependencies().isEmpty();
        this.queuedSinceMicros =
                readyWallMicros == 0
                        ? submittedMicros
                        : submittedMicros + Math.max(0, readyWallMicros - submittedWallMicros);
        this.priority = description.priority();
        this.deadlineMicros = ownDeadlineMicros();
    }

    long ownDeadlineMicros() {
        return description.deadlineSeconds() == null
                ? Long.MAX_VALUE
                : submittedMicros + (long) (description.deadlineSeconds() * 1e6);
    }

    /** True while the job must not start: it is queued, holds no room and asks for none. */
    public boolean isBlocked() {
        return isBlocked;
    }

    /** Every job before it is done, durably. */
    void unblock(long nowMicros, long wallMicros) {
        isBlocked = false;
        queuedSinceMicros = Math.max(submittedMicros, nowMicros);
        readyWallMicros = wallMicros;
    }

    public long queuedSinceMicros() {
        return queuedSinceMicros;
    }

    public Priority priority() {
        return priority;
    }

    public long deadlineMicros() {
        return deadlineMicros;
    }

    /** A task of the job is stopped for another job. */
    public void onPreempted(long nowMicros) {
        if (nowMicros == preemptedMicros) {
            return;
        }
        preemptions =
                nowMicros - preemptedMicros > PREEMPTION_MEMORY_MICROS
                        ? 1
                        : Math.min(preemptions + 1, 3);
        preemptedMicros = nowMicros;
    }

    /**
     * True for a while after tasks were stopped for others, longer each time: started again in
     * whatever hole there is, they would be stopped again for the next job of a higher rank, dozens
     * of times.
     */
    public boolean isBackingOff(long nowMicros) {
        return preemptions > 0
                && nowMicros - preemptedMicros < PREEMPTION_BACKOFF_MICROS << preemptions;
    }

    /** What the jobs that need this one ask of it. */
    void inheritFromDependents(Priority highestPriority, long earliestDeadlineMicros) {
        Priority before = priority;
        priority =
                highestPriority.compareTo(description.priority()) > 0
                        ? highestPriority
                        : description.priority();
        deadlineMicros = Math.min(ownDeadlineMicros(), earliestDeadlineMicros);
        if (before != priority) {
            preemptions = 0;
            attempts.values()
                    .forEach(attempt -> attempt.machine.onPriorityChanged(attempt, before));
        }
    }

    public String jobId() {
        return description.jobId();
    }

    public int completedCount() {
        return completedCount;
    }

    public boolean isComplete() {
        return !description.isService() && completedCount == description.taskCount();
    }

    /**
     * How long the description is in the compact format, about: it is in every record of the job.
     */
    public int descriptionSize() {
        if (descriptionSize == 0) {
            descriptionSize = Cbor.jsonSize(description.withoutDependencies().toMap());
        }
        return descriptionSize;
    }

    /** True when nothing is left to run: only tasks that must go may still be somewhere. */
    public boolean isOver() {
        return finished || cancelled || isComplete();
    }

    public Collection<TaskAttempt> attempts() {
        return attempts.values();
    }

    /**
     * When a task of the job was first placed, as far as this leader knows; {@link #NEVER_MICROS}
     * for never.
     */
    public long firstPlacedMicros() {
        return firstPlacedMicros;
    }

    /** Some of it is done, or on a machine, or about to be. */
    public boolean hasStarted() {
        return completedCount > 0 || !attempts.isEmpty();
    }

    public TaskAttempt attempt(int index) {
        return attempts.get(index);
    }

    public int attemptsInZone(String zone) {
        return attemptsByZone.getOrDefault(zone, 0);
    }

    /** The zones in which tasks of the job are or may be. */
    public Collection<String> zones() {
        return attemptsByZone.keySet();
    }

    /** How many tasks are or may be in each zone. */
    public Map<String, Integer> tasksByZone() {
        return Collections.unmodifiableMap(attemptsByZone);
    }

    public int pendingTasks() {
        return isOver() || isBlocked ? 0 : description.taskCount() - takenCount;
    }

    /** How many more of its tasks the team's limit allows. */
    public int allowedTasks() {
        return allowedTasks(Resources.NONE);
    }

    /** The same, where the first tasks give back what was held for them. */
    public int allowedTasks(Resources credit) {
        return team.allowedTasks(taskResources, this, credit);
    }

    public int nextPending(int from) {
        int next = takenTasks.nextClearBit(from);
        return next < description.taskCount() ? next : -1;
    }

    public void add(TaskAttempt attempt) {
        if (isBlocked) {
            throw new IllegalStateException("job " + jobId() + " waits for others");
        }
        if (firstPlacedMicros == NEVER_MICROS) {
            // An earlier leader placed what is inherited: when is not known, and it is not said to
            // have waited until now.
            firstPlacedMicros =
                    attempt.stage == TaskAttempt.Stage.RECOVERED
                            ? queuedSinceMicros
                            : attempt.placedMicros;
        }
        attempts.put(attempt.index, attempt);
        markTaken(attempt.index);
        attemptsByZone.merge(attempt.machine.zone, 1, Integer::sum);
        attempt.machine.add(attempt);
        team.add(taskResources);
    }

    public void remove(TaskAttempt attempt) {
        if (attempts.get(attempt.index) != attempt) {
            return;
        }
        attempts.remove(attempt.index);
        if (!completedTasks.get(attempt.index) && takenTasks.get(attempt.index)) {
            takenTasks.clear(attempt.index);
            takenCount--;
        }
        attemptsByZone.computeIfPresent(
                attempt.machine.zone, (zone, count) -> count == 1 ? null : count - 1);
        attempt.machine.remove(attempt);
        team.subtract(taskResources);
    }

    /** Placements whose record has become durable may be launched. */
    public void releaseDurableAttempts() {
        for (TaskAttempt attempt : attempts.values()) {
            if (attempt.stage == TaskAttempt.Stage.PLANNED
                    && attempt.version <= persistence.durableVersion) {
                attempt.markReady();
            }
        }
    }

    private void markTaken(int index) {
        if (!takenTasks.get(index)) {
            takenTasks.set(index);
            takenCount++;
        }
    }

    public boolean markCompleted(int index) {
        if (completedTasks.get(index)) {
            return false;
        }
        completedTasks.set(index);
        completedCount++;
        markTaken(index);
        return true;
    }

    public int runningTasks() {
        int running = 0;
        for (TaskAttempt attempt : attempts.values()) {
            if (attempt.reportedState == TaskStatus.State.RUNNING) {
                running++;
            }
        }
        return running;
    }

    /** The record as it should be written now. */
    public JobRecord toRecord(long term, long version) {
        Map<String, JobRecord.RecordedAttempt> groups = new LinkedHashMap<>();
        List<TaskAttempt> ordered = new ArrayList<>(attempts.values());
        ordered.sort((a, b) -> Integer.compare(a.index, b.index));
        for (TaskAttempt p : ordered) {
            groups.computeIfAbsent(
                            p.machine.host + " " + p.attempt,
                            k ->
                                    new JobRecord.RecordedAttempt(
                                            p.machine.host, p.attempt, new BitSet()))
                    .tasks()
                    .set(p.index);
        }
        return new JobRecord(
                isBlocked ? description : description.withoutDependencies(),
                submittedWallMicros,
                readyWallMicros,
                cancelled,
                (BitSet) completedTasks.clone(),
                List.copyOf(groups.values()),
                runningTasks(),
                term,
                version);
    }

    public boolean isCancelled() {
        return cancelled;
    }

    /** The job was cancelled at this moment or later. */
    public long cancelledSinceMicros() {
        return cancelledSinceMicros;
    }

    /** The final state is in the store, and the job is no longer among those of the core. */
    public boolean isFinished() {
        return finished;
    }

    /** Fits into the team's guarantee together with the team's earlier jobs. */
    public boolean isWithinGuarantee() {
        return withinGuarantee;
    }

    public int failures() {
        return failures;
    }

    public long placeNotBeforeMicros() {
        return placeNotBeforeMicros;
    }

    /** Whether the job fits into its team's guarantee together with the team's earlier jobs. */
    public void setWithinGuarantee(boolean fits) {
        withinGuarantee = fits;
    }

    /** A task of the job ended with an error. */
    public void countFailure() {
        failures++;
    }

    /** No task of the job is placed before the given time. */
    public void placeNotBefore(long micros) {
        placeNotBeforeMicros = micros;
    }
}
