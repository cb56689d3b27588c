package org.woadloom.core.teams;

import java.util.Map;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.Room;
import org.woadloom.settings.Team;

/** What a team's tasks may be using, reserved room included, against its guarantee and limit. */
public final class TeamUse {
    public final Team team;
    private final Room guarantee;
    private final Room limit;
    private Room used = Room.NONE;

    /** By class, what of the limit is left to it alone; see {@link ClassShares}. */
    private Map<String, Room> kept = Map.of();

    /**
     * The job for which the limit is gathered, and what of it is left to that job alone; see {@link
     * LimitTurns}.
     */
    private Job gathering;

    private Room gathered = Room.NONE;

    public TeamUse(Team team) {
        this.team = team;
        this.guarantee = room(team.cpus(), team.gpus());
        this.limit = room(team.cpusMax(), team.gpusMax());
    }

    private static Room room(double cpus, double gpus) {
        return new Room(
                (long) (cpus * 1000 + 1e-6), (long) (gpus * 1000 + 1e-6), Long.MAX_VALUE / 4);
    }

    public void add(Room room) {
        used = used.plus(room);
    }

    public void subtract(Room room) {
        used = used.minus(room);
    }

    void keep(Map<String, Room> forClasses) {
        kept = forClasses;
    }

    void gather(Job job, Room room) {
        gathering = job;
        gathered = room;
    }

    /** How many more tasks of this size the team's limit allows to a job. */
    public int allowed(Room task, Job job) {
        return allowed(task, job, Room.NONE);
    }

    /** The same, where the first tasks give back what was held for them. */
    public int allowed(Room task, Job job, Room credit) {
        Room left = limit.minus(used).plus(credit);
        if (gathering == job) {
            return left.floor().count(task);
        }
        left = left.minus(gathered);
        String jobClass = job.description.jobclass();
        for (Map.Entry<String, Room> other : kept.entrySet()) {
            left = other.getKey().equals(jobClass) ? left : left.minus(other.getValue());
        }
        return left.floor().count(task);
    }

    boolean withinLimit(Room all) {
        return limit.holds(all);
    }

    Room partOfLimit(double part) {
        return new Room((long) (limit.cpu() * part), (long) (limit.card() * part), limit.ram());
    }

    /** True if so much is within the guarantee. */
    public boolean guarantees(Room all) {
        return guarantee.holds(all);
    }

    public boolean withinGuarantee(Room more) {
        return guarantee.holds(used.plus(more));
    }

    public boolean beyondGuarantee() {
        return !guarantee.holds(used);
    }

    public Room used() {
        return used;
    }
}
