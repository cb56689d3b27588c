package org.woadloom.core.quota;

import java.util.Map;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.Resources;
import org.woadloom.settings.Team;

/** What a team's tasks may be using, reserved room included, against its guarantee and limit. */
public final class TeamQuota {
    public final Team team;
    private final Resources guarantee;
    private final Resources limit;
    private Resources used = Resources.NONE;

    /** By class, what of the limit is left to it alone; see {@link ClassFairShare}. */
    private Map<String, Resources> keptForClasses = Map.of();

    /**
     * The job for which the limit is gathered, and what of it is left to that job alone; see {@link
     * LimitTurns}.
     */
    private Job turnHolder;

    private Resources keptForTurn = Resources.NONE;

    public TeamQuota(Team team) {
        this.team = team;
        this.guarantee = room(team.cpus(), team.gpus());
        this.limit = room(team.cpusMax(), team.gpusMax());
    }

    private static Resources room(double cpus, double gpus) {
        return new Resources(
                (long) (cpus * 1000 + 1e-6), (long) (gpus * 1000 + 1e-6), Long.MAX_VALUE / 4);
    }

    public void add(Resources room) {
        used = used.plus(room);
    }

    public void subtract(Resources room) {
        used = used.minus(room);
    }

    void setKeptForClasses(Map<String, Resources> resourcesByClass) {
        keptForClasses = resourcesByClass;
    }

    void setTurn(Job job, Resources room) {
        turnHolder = job;
        keptForTurn = room;
    }

    /** How many more tasks of this size the team's limit allows to a job. */
    public int allowedTasks(Resources task, Job job) {
        return allowedTasks(task, job, Resources.NONE);
    }

    /** The same, where the first tasks give back what was held for them. */
    public int allowedTasks(Resources task, Job job, Resources credit) {
        Resources left = limit.minus(used).plus(credit);
        if (turnHolder == job) {
            return left.withoutNegatives().count(task);
        }
        left = left.minus(keptForTurn);
        String jobClass = job.description.jobClass();
        for (Map.Entry<String, Resources> other : keptForClasses.entrySet()) {
            left = other.getKey().equals(jobClass) ? left : left.minus(other.getValue());
        }
        return left.withoutNegatives().count(task);
    }

    boolean fitsLimit(Resources all) {
        return limit.contains(all);
    }

    Resources partOfLimit(double part) {
        return new Resources(
                (long) (limit.cpu() * part), (long) (limit.gpu() * part), limit.memory());
    }

    /** True if so much is within the guarantee. */
    public boolean fitsGuarantee(Resources all) {
        return guarantee.contains(all);
    }

    public boolean staysWithinGuarantee(Resources more) {
        return guarantee.contains(used.plus(more));
    }

    public boolean exceedsGuarantee() {
        return !guarantee.contains(used);
    }

    public Resources used() {
        return used;
    }
}
