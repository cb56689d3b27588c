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
    private Map<String, Resources> kept = Map.of();

    /**
     * The job for which the limit is gathered, and what of it is left to that job alone; see {@link
     * LimitTurns}.
     */
    private Job gathering;

    private Resources gathered = Resources.NONE;

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

    void keep(Map<String, Resources> forClasses) {
        kept = forClasses;
    }

    void gather(Job job, Resources room) {
        gathering = job;
        gathered = room;
    }

    /** How many more tasks of this size the team's limit allows to a job. */
    public int allowed(Resources task, Job job) {
        return allowed(task, job, Resources.NONE);
    }

    /** The same, where the first tasks give back what was held for them. */
    public int allowed(Resources task, Job job, Resources credit) {
        Resources left = limit.minus(used).plus(credit);
        if (gathering == job) {
            return left.floor().count(task);
        }
        left = left.minus(gathered);
        String jobClass = job.description.jobClass();
        for (Map.Entry<String, Resources> other : kept.entrySet()) {
            left = other.getKey().equals(jobClass) ? left : left.minus(other.getValue());
        }
        return left.floor().count(task);
    }

    boolean withinLimit(Resources all) {
        return limit.holds(all);
    }

    Resources partOfLimit(double part) {
        return new Resources(
                (long) (limit.cpu() * part), (long) (limit.gpu() * part), limit.memory());
    }

    /** True if so much is within the guarantee. */
    public boolean guarantees(Resources all) {
        return guarantee.holds(all);
    }

    public boolean withinGuarantee(Resources more) {
        return guarantee.holds(used.plus(more));
    }

    public boolean beyondGuarantee() {
        return !guarantee.holds(used);
    }

    public Resources used() {
        return used;
    }
}
