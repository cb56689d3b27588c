package org.woadloom.core.teams;

import org.woadloom.core.placement.Room;
import org.woadloom.settings.Team;

/** What a team's tasks may be using, reserved room included, against its guarantee and limit. */
public final class TeamUse {
    public final Team team;
    private final Room guarantee;
    private final Room limit;
    private Room used = Room.NONE;

    public TeamUse(Team team) {
        this.team = team;
        this.guarantee = room(team.cpus(), team.gpus());
        this.limit = room(team.cpusMax(), team.gpusMax());
    }

    private static Room room(double cpus, double gpus) {
        return new Room((long) (cpus * 1000 + 1e-6), (long) (gpus * 1000 + 1e-6), Long.MAX_VALUE / 4);
    }

    public void add(Room room) {
        used = used.plus(room);
    }

    public void subtract(Room room) {
        used = used.minus(room);
    }

    /** How many more tasks of this size the team's limit allows. */
    public int allowed(Room task) {
        return limit.minus(used).floor().count(task);
    }

    /** The same, where the first tasks give back what was held for them. */
    public int allowed(Room task, Room credit) {
        return limit.minus(used).plus(credit).floor().count(task);
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
