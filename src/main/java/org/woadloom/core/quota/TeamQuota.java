package org.woadloom.core.quota;

import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.PendingReason;
import org.woadloom.core.placement.Resources;
import org.woadloom.settings.Team;

/**
 * Tracks the resources that a team uses, including reserved ones, against its guarantee and its
 * limit. Neither bounds memory.
 *
 * <p>While it is a job's turn, freed quota that the job needs to start is kept from the other jobs
 * of the team; {@link QuotaRotation} decides whose turn it is.
 */
public final class TeamQuota {
    public final Team team;

    /** More memory than any cluster has, yet small enough that sums do not overflow. */
    private static final long UNBOUNDED_MEMORY = Long.MAX_VALUE / 4;

    private final Resources guarantee;
    private final Resources limit;
    private Resources used = Resources.NONE;

    /** The part of the limit kept for each job class; see {@link ClassFairShare}. */
    private Map<String, Resources> keptForClasses = Map.of();

    /** The job of the team whose turn it is, or null if it is no job's turn. */
    private Job turnHolder;

    /** The part of the team's limit that is kept for the job whose turn it is. */
    private Resources keptForTurn = Resources.NONE;

    /** Empty until this term has placed a task of the team, or found one in a record. */
    private String lastPlacedJobId = "";

    private final LostTaskHolds lostTaskHolds = new LostTaskHolds();

    public TeamQuota(Team team) {
        this.team = team;
        this.guarantee = toResources(team.cpus(), team.gpus());
        this.limit = toResources(team.cpusMax(), team.gpusMax());
    }

    private static Resources toResources(double cpus, double gpus) {
        return new Resources(
                Resources.toUnitsRoundedDown(cpus),
                Resources.toUnitsRoundedDown(gpus),
                UNBOUNDED_MEMORY);
    }

    /** Adds reserved resources to the team's usage. */
    public void addUsage(Resources amount) {
        used = used.plus(amount);
    }

    /** Adds the resources of a task that was placed, or found in a record, to the team's usage. */
    public void onTaskPlaced(Job job) {
        used = used.plus(job.taskResources);
        lostTaskHolds.onPlaced(job);
        lastPlacedJobId = job.jobId();
    }

    /** The job whose task was last placed, or found in its record; empty if none in this term. */
    public String lastPlacedJobId() {
        return lastPlacedJobId;
    }

    /** Holds the quota of a lost task until the next task of the job is placed. */
    public void onTaskLost(Job job, long nowMicros) {
        lostTaskHolds.onLost(job, nowMicros);
    }

    /**
     * Ends holds for lost tasks that have expired or are not needed any more. To be called before
     * tasks are placed.
     *
     * @param reservedTasks the number of a job's tasks with reservations, which count as used
     *     already
     */
    public void expireLostTaskHolds(long nowMicros, ToIntFunction<Job> reservedTasks) {
        lostTaskHolds.expireHolds(nowMicros, reservedTasks);
    }

    /** Subtracts the resources of an attempt or a reservation that has ended. */
    public void subtractUsage(Resources amount) {
        used = used.minus(amount);
    }

    void setKeptForClasses(Map<String, Resources> resourcesByClass) {
        keptForClasses = resourcesByClass;
    }

    /** Sets the job whose turn it is, or null for none, and the resources kept for that job. */
    void setTurn(Job job, Resources kept) {
        turnHolder = job;
        keptForTurn = kept;
    }

    /** How many more tasks with these resources the team's limit allows the job. */
    public int allowedTasks(Resources task, Job job) {
        return allowedTasks(task, job, Resources.NONE);
    }

    /**
     * How many more tasks with these resources the team's limit allows the job, if placing the
     * tasks frees reserved resources of the team.
     *
     * @param credit the reserved resources that are freed
     */
    public int allowedTasks(Resources task, Job job, Resources credit) {
        Resources free = limit.minus(used).plus(credit).minus(lostTaskHolds.heldForOthers(job));
        int freeTasks = free.clampToNonNegative().countFitting(task);
        if (turnHolder == job) {
            return freeTasks;
        }
        int heldForJob = Math.min(lostTaskHolds.heldTasks(job), freeTasks);
        return Math.max(
                heldForJob, notKeptForOthers(free, job).clampToNonNegative().countFitting(task));
    }

    /** Why the limit allows no task of the job now; empty if it allows one. */
    public Optional<PendingReason> quotaPendingReason(Job job) {
        Resources task = job.taskResources;
        if (allowedTasks(task, job) > 0) {
            return Optional.empty();
        }
        Resources free = limit.minus(used);
        if (!free.contains(task)) {
            return Optional.of(PendingReason.TEAM_LIMIT);
        }
        free = free.minus(lostTaskHolds.heldForOthers(job));
        if (!free.contains(task)) {
            return Optional.of(PendingReason.HELD_FOR_LOST_TASKS);
        }
        return Optional.of(
                free.minus(keptForTurn).contains(task)
                        ? PendingReason.KEPT_FOR_CLASSES
                        : PendingReason.KEPT_FOR_TURN);
    }

    /** The part of the free quota that is kept neither for a turn nor for other job classes. */
    private Resources notKeptForOthers(Resources free, Job job) {
        Resources left = free.minus(keptForTurn);
        String jobClass = job.description.jobClass();
        for (Map.Entry<String, Resources> other : keptForClasses.entrySet()) {
            left = other.getKey().equals(jobClass) ? left : left.minus(other.getValue());
        }
        return left;
    }

    /** True if the team would be within its limit if it used exactly the given resources. */
    boolean fitsLimit(Resources total) {
        return limit.contains(total);
    }

    /** This fraction of the limit; memory, which is unbounded, is not scaled. */
    Resources fractionOfLimit(double fraction) {
        return new Resources(
                (long) (limit.cpu() * fraction), (long) (limit.gpu() * fraction), limit.memory());
    }

    /** True if the team would be within its guarantee if it used exactly the given resources. */
    public boolean fitsGuarantee(Resources total) {
        return guarantee.contains(total);
    }

    /** True if the team's usage plus the given resources is within the guarantee. */
    public boolean staysWithinGuarantee(Resources additional) {
        return guarantee.contains(used.plus(additional));
    }

    /** True if the team uses more than its guarantee, that is, borrows unused quota of others. */
    public boolean exceedsGuarantee() {
        return !guarantee.contains(used);
    }

    public Resources used() {
        return used;
    }
}
