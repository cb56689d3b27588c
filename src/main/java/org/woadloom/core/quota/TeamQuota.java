package org.woadloom.core.quota;

import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.PendingReason;
import org.woadloom.core.placement.Resources;
import org.woadloom.settings.Team;

/**
 * What a team's tasks may be using, reserved resources included, against its guarantee and limit.
 * Neither bounds memory.
 */
public final class TeamQuota {
    public final Team team;

    /** More memory than there is, and far enough from the greatest value for sums. */
    private static final long UNBOUNDED_MEMORY = Long.MAX_VALUE / 4;

    private final Resources guarantee;
    private final Resources limit;
    private Resources used = Resources.NONE;

    /** By class, what of the limit is left to it alone; see {@link ClassFairShare}. */
    private Map<String, Resources> keptForClasses = Map.of();

    /**
     * The job whose turn it is, and what of the limit is left to that job alone; see {@link
     * QuotaRotation}.
     */
    private Job turnHolder;

    private Resources keptForTurn = Resources.NONE;

    /** Empty until this term has placed a task of the team, or found one in a record. */
    private String lastPlacedJobId = "";

    private final LostTaskHolds lostTasks = new LostTaskHolds();

    public TeamQuota(Team team) {
        this.team = team;
        this.guarantee = bounds(team.cpus(), team.gpus());
        this.limit = bounds(team.cpusMax(), team.gpusMax());
    }

    private static Resources bounds(double cpus, double gpus) {
        return new Resources(
                Resources.toUnitsRoundedDown(cpus),
                Resources.toUnitsRoundedDown(gpus),
                UNBOUNDED_MEMORY);
    }

    /** A reservation of the team has come. */
    public void addUsage(Resources amount) {
        used = used.plus(amount);
    }

    /** An attempt of one of the job's tasks has come. */
    public void onTaskPlaced(Job job) {
        used = used.plus(job.taskResources);
        lostTasks.onPlaced(job);
        lastPlacedJobId = job.jobId();
    }

    /** The job whose task was placed, or found in its record, last; empty for none in this term. */
    public String lastPlacedJobId() {
        return lastPlacedJobId;
    }

    /** A task of the job was lost: what it used is held until the job's next task is placed. */
    public void onTaskLost(Job job, long nowMicros) {
        lostTasks.onLost(job, nowMicros);
    }

    /**
     * Ends what is held in vain for lost tasks; to be called before tasks are placed.
     *
     * @param reservedTasks for how many tasks of a job there are reservations, which count as used
     */
    public void expireLostTaskHolds(long nowMicros, ToIntFunction<Job> reservedTasks) {
        lostTasks.review(nowMicros, reservedTasks);
    }

    /** An attempt or a reservation of the team has ended. */
    public void subtractUsage(Resources amount) {
        used = used.minus(amount);
    }

    void setKeptForClasses(Map<String, Resources> resourcesByClass) {
        keptForClasses = resourcesByClass;
    }

    /** Whose turn it is, null for nobody's, and what the team's other jobs leave to it. */
    void setTurn(Job job, Resources kept) {
        turnHolder = job;
        keptForTurn = kept;
    }

    /** How many more tasks of this size the team's limit allows to a job. */
    public int allowedTasks(Resources task, Job job) {
        return allowedTasks(task, job, Resources.NONE);
    }

    /** The same, where the first tasks give back what was reserved for them. */
    public int allowedTasks(Resources task, Job job, Resources credit) {
        Resources free = limit.minus(used).plus(credit).minus(lostTasks.heldForOthers(job));
        int freeTasks = free.clampToNonNegative().countFitting(task);
        if (turnHolder == job) {
            return freeTasks;
        }
        int lost = Math.min(lostTasks.tasksOf(job), freeTasks);
        return Math.max(lost, notKeptForOthers(free, job).clampToNonNegative().countFitting(task));
    }

    /** Why the limit allows the job no task now; empty if it allows one. */
    public Optional<PendingReason> quotaPendingReason(Job job) {
        Resources task = job.taskResources;
        if (allowedTasks(task, job) > 0) {
            return Optional.empty();
        }
        Resources free = limit.minus(used);
        if (!free.contains(task)) {
            return Optional.of(PendingReason.TEAM_LIMIT);
        }
        free = free.minus(lostTasks.heldForOthers(job));
        if (!free.contains(task)) {
            return Optional.of(PendingReason.HELD_FOR_LOST_TASKS);
        }
        return Optional.of(
                free.minus(keptForTurn).contains(task)
                        ? PendingReason.KEPT_FOR_CLASSES
                        : PendingReason.KEPT_FOR_TURN);
    }

    /** What of the free limit is kept neither for a turn nor for other classes than the job's. */
    private Resources notKeptForOthers(Resources free, Job job) {
        Resources left = free.minus(keptForTurn);
        String jobClass = job.description.jobClass();
        for (Map.Entry<String, Resources> other : keptForClasses.entrySet()) {
            left = other.getKey().equals(jobClass) ? left : left.minus(other.getValue());
        }
        return left;
    }

    /** True if so much in all is within the limit. */
    boolean fitsLimit(Resources all) {
        return limit.contains(all);
    }

    /** A part of the limit; memory, which has none, as it is. */
    Resources partOfLimit(double part) {
        return new Resources(
                (long) (limit.cpu() * part), (long) (limit.gpu() * part), limit.memory());
    }

    /** True if so much in all is within the guarantee. */
    public boolean fitsGuarantee(Resources all) {
        return guarantee.contains(all);
    }

    /** True if so much more than what is used is within the guarantee. */
    public boolean staysWithinGuarantee(Resources more) {
        return guarantee.contains(used.plus(more));
    }

    /** True if the team borrows: it uses more than its guarantee. */
    public boolean exceedsGuarantee() {
        return !guarantee.contains(used);
    }

    public Resources used() {
        return used;
    }
}
