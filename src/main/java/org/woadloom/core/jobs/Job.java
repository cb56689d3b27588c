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
    public final Resources room;
    public final TeamQuota team;
    public final long submittedWallMicros;
    public final long submittedMicros;

    /**
     * From when on the job's times count, its deadline apart: its submission, or when the last job
     * before it was done.
     */
    private long sinceMicros;

    /**
     * When the last job before it was done by the time of day, 0 where it waits still or waited for
     * none.
     */
    private long readyWallMicros;

    /** Must not start: a job before it is not known to be done. */
    private boolean waiting;

    /** Its own rank, or a higher one of a job that needs it. */
    private Priority priority;

    /**
     * By when it has to be done for itself, or for the jobs that need it; {@link Long#MAX_VALUE}
     * for no such time.
     */
    private long dueMicros;

    private int descriptionSize;

    /** Tasks that are done: a subset of this may not be durable yet. */
    public final BitSet done;

    private int doneCount;
    public final PersistenceState recording;

    /** Done or placed: what is clear here is pending. */
    private final BitSet taken = new BitSet();

    private int takenCount;
    private final Int2ObjectHashMap<TaskAttempt> placements = new Int2ObjectHashMap<>();
    private final Map<String, Integer> perYard = new LinkedHashMap<>();
    public boolean cancelled;

    /** The job was cancelled at this moment or later. */
    public long cancelledSinceMicros = Long.MIN_VALUE;

    /** The final state is in the store, and the job is no longer among those of the core. */
    public boolean finished;

    /** Fits into the team's guarantee together with the team's earlier jobs. */
    public boolean guaranteed;

    public int failures;
    private long firstPlacedMicros = NEVER_MICROS;
    private int preemptions;
    private long preemptedMicros = Long.MIN_VALUE / 2;
    public long notBeforeMicros;

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
            Set<Job> unrecorded) {
        this.description = record.description();
        this.room = Resources.of(record.description());
        this.team = team;
        this.submittedWallMicros = record.submittedWallMicros();
        this.submittedMicros = submittedMicros;
        this.done = (BitSet) record.done().clone();
        this.taken.or(record.done());
        this.takenCount = taken.cardinality();
        this.cancelled = record.cancelled();
        this.recording = new PersistenceState(revision, () -> unrecorded.add(this));
        this.doneCount = done.cardinality();
        this.readyWallMicros = record.readyWallMicros();
        this.waiting = !record.description().dependencies().isEmpty();
        this.sinceMicros =
                readyWallMicros == 0
                        ? submittedMicros
                        : submittedMicros + Math.max(0, readyWallMicros - submittedWallMicros);
        this.priority = description.priority();
        this.dueMicros = ownDueMicros();
    }

    long ownDueMicros() {
        return description.deadlineSeconds() == null
                ? Long.MAX_VALUE
                : submittedMicros + (long) (description.deadlineSeconds() * 1e6);
    }

    /** True while the job must not start: it is queued, holds no room and asks for none. */
    public boolean waiting() {
        return waiting;
    }

    /** Every job before it is done, durably. */
    void ready(long nowMicros, long wallMicros) {
        waiting = false;
        sinceMicros = Math.max(submittedMicros, nowMicros);
        readyWallMicros = wallMicros;
    }

    public long sinceMicros() {
        return sinceMicros;
    }

    public Priority priority() {
        return priority;
    }

    public long dueMicros() {
        return dueMicros;
    }

    /** A task of the job is stopped for another job. */
    public void preempted(long nowMicros) {
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
    public boolean backsOff(long nowMicros) {
        return preemptions > 0
                && nowMicros - preemptedMicros < PREEMPTION_BACKOFF_MICROS << preemptions;
    }

    /** What the jobs that need this one ask of it. */
    void inherit(Priority highest, long earliestMicros) {
        Priority before = priority;
        priority = highest.compareTo(description.priority()) > 0 ? highest : description.priority();
        dueMicros = Math.min(ownDueMicros(), earliestMicros);
        if (before != priority) {
            preemptions = 0;
            placements.values().forEach(placement -> placement.machine.reranked(placement, before));
        }
    }

    public String jobId() {
        return description.jobId();
    }

    public int doneCount() {
        return doneCount;
    }

    public boolean allDone() {
        return !description.isService() && doneCount == description.taskCount();
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
    public boolean over() {
        return finished || cancelled || allDone();
    }

    public Collection<TaskAttempt> placements() {
        return placements.values();
    }

    /**
     * When a task of the job was first placed, as far as this leader knows; {@link #NEVER_MICROS}
     * for never.
     */
    public long firstPlacedMicros() {
        return firstPlacedMicros;
    }

    /** Some of it is done, or on a machine, or about to be. */
    public boolean begun() {
        return doneCount > 0 || !placements.isEmpty();
    }

    public TaskAttempt placement(int index) {
        return placements.get(index);
    }

    public int placedIn(String zone) {
        return perYard.getOrDefault(zone, 0);
    }

    /** The zones in which tasks of the job are or may be. */
    public Collection<String> zones() {
        return perYard.keySet();
    }

    /** How many tasks are or may be in each zone. */
    public Map<String, Integer> tasksByZone() {
        return Collections.unmodifiableMap(perYard);
    }

    public int pending() {
        return over() || waiting ? 0 : description.taskCount() - takenCount;
    }

    /** How many more of its tasks the team's limit allows. */
    public int allowed() {
        return allowed(Resources.NONE);
    }

    /** The same, where the first tasks give back what was held for them. */
    public int allowed(Resources credit) {
        return team.allowed(room, this, credit);
    }

    public int nextPending(int from) {
        int next = taken.nextClearBit(from);
        return next < description.taskCount() ? next : -1;
    }

    public void add(TaskAttempt placement) {
        if (waiting) {
            throw new IllegalStateException("job " + jobId() + " waits for others");
        }
        if (firstPlacedMicros == NEVER_MICROS) {
            // An earlier leader placed what is inherited: when is not known, and it is not said to
            // have waited until now.
            firstPlacedMicros =
                    placement.stage == TaskAttempt.Stage.INHERITED
                            ? sinceMicros
                            : placement.placedMicros;
        }
        placements.put(placement.index, placement);
        take(placement.index);
        perYard.merge(placement.machine.zone, 1, Integer::sum);
        placement.machine.add(placement);
        team.add(room);
    }

    public void remove(TaskAttempt placement) {
        if (placements.get(placement.index) != placement) {
            return;
        }
        placements.remove(placement.index);
        if (!done.get(placement.index) && taken.get(placement.index)) {
            taken.clear(placement.index);
            takenCount--;
        }
        perYard.computeIfPresent(
                placement.machine.zone, (zone, count) -> count == 1 ? null : count - 1);
        placement.machine.remove(placement);
        team.subtract(room);
    }

    /** Placements whose record has become durable may be launched. */
    public void release() {
        for (TaskAttempt placement : placements.values()) {
            if (placement.stage == TaskAttempt.Stage.PLANNED
                    && placement.version <= recording.durable) {
                placement.ready();
            }
        }
    }

    private void take(int index) {
        if (!taken.get(index)) {
            taken.set(index);
            takenCount++;
        }
    }

    public boolean markDone(int index) {
        if (done.get(index)) {
            return false;
        }
        done.set(index);
        doneCount++;
        take(index);
        return true;
    }

    public int running() {
        int running = 0;
        for (TaskAttempt placement : placements.values()) {
            if (placement.seen == TaskStatus.State.RUNNING) {
                running++;
            }
        }
        return running;
    }

    /** The record as it should be written now. */
    public JobRecord toRecord(long term, long version) {
        Map<String, JobRecord.RecordedAttempt> groups = new LinkedHashMap<>();
        List<TaskAttempt> ordered = new ArrayList<>(placements.values());
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
                waiting ? description : description.withoutDependencies(),
                submittedWallMicros,
                readyWallMicros,
                cancelled,
                (BitSet) done.clone(),
                List.copyOf(groups.values()),
                running(),
                term,
                version);
    }
}
