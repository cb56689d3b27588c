package org.woadloom.core.teams;

import java.util.Map;
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

    void keep(Map<String, Room> forClasses) {
        kept = forClasses;
    }

    /** How many more tasks of this size the team's limit allows to a class. */
    public int allowed(Room task, String jobClass) {
        return allowed(task, jobClass, Room.NONE);
    }

    /** The same, where the first tasks give back what was held for them. */
    public int allowed(Room task, String jobClass, Room credit) {
        Room left = limit.minus(used).plus(credit);
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
