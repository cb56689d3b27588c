package org.woadloom.core.teams;

import java.util.HashMap;
import java.util.Map;
import org.woadloom.core.World;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.Room;
import org.woadloom.core.reservation.Reservations;

/**
 * A reservation against a team's limit, for one job of the team at a time, oldest first. What comes free of a limit that is
 * reached goes to whatever fits into it, so a gang, or a task larger than those that end, might wait behind smaller ones for
 * ever. Once such a job has waited for a while without beginning, the others of its team leave it what it needs to begin.
 * Nothing is stopped for it.
 */
public final class LimitTurns {
    /** How long a job waits before the limit is gathered for it: well under the four minutes within which it must begin. */
    private static final long PATIENCE_MICROS = 100_000_000;

    /** How long others leave the limit to one job, and for how long it has no other turn after that. */
    private static final long TURN_MICROS = 60_000_000;

    /** After a turn in vain the others of the team get what is free: nobody waits for one such turn after the other. */
    private static final long REST_MICROS = 5_000_000;

    private final World world;
    private final Reservations reservations;
    private final Map<TeamUse, Turn> turns = new HashMap<>();
    /** Jobs that had a turn and could not begin, and until when they have no other. */
    private final Map<Job, Long> passed = new HashMap<>();
    /** When the last turn of each team that was in vain ended. */
    private final Map<TeamUse, Long> vainMicros = new HashMap<>();

    private record Turn(Job job, long sinceMicros) {
    }

    public LimitTurns(World world, Reservations reservations) {
        this.world = world;
        this.reservations = reservations;
    }

    /** To be called before tasks are placed. */
    public void update() {
        passed.entrySet().removeIf(entry -> entry.getValue() < world.nowMicros || entry.getKey().finished);
        turns.values().removeIf(turn -> {
            if (reservations.heldForOthers(turn.job)) {
                // One that has gathered room on machines is further; each would keep the other's limit.
                return true;
            }
            boolean over = world.nowMicros - turn.sinceMicros > TURN_MICROS;
            if (over && waits(turn.job)) {
                passed.put(turn.job, world.nowMicros + TURN_MICROS);
                vainMicros.put(turn.job.team, world.nowMicros);
                world.note("job " + turn.job.uid() + " could not begin in " + TURN_MICROS / 1_000_000 + " s in which the limit of team "
                        + turn.job.team.team.name() + " was left to it");
            }
            return over || !waits(turn.job);
        });
        Map<TeamUse, Job> next = new HashMap<>();
        for (Job job : world.jobs.values()) {
            if (!turns.containsKey(job.team) && !rests(job.team) && waits(job) && !passed.containsKey(job)
                    && world.nowMicros - job.sinceMicros() > PATIENCE_MICROS && job.allowed() < needed(job)
                    && !reservations.heldForOthers(job)) {
                next.merge(job.team, job, (a, b) -> b.sinceMicros() < a.sinceMicros() ? b : a);
            }
        }
        next.forEach(this::begin);
        for (TeamUse team : world.teams.values()) {
            Turn turn = turns.get(team);
            team.gather(turn == null ? null : turn.job, turn == null ? Room.NONE : turn.job.room.times(needed(turn.job)));
        }
    }

    private boolean rests(TeamUse team) {
        return world.nowMicros - vainMicros.getOrDefault(team, Long.MIN_VALUE / 2) < REST_MICROS;
    }

    /** What replicas use does not come free by itself: where they leave too little, there is nothing to wait for. */
    private void begin(TeamUse team, Job job) {
        Room replicas = Room.NONE;
        for (Job other : world.jobs.values()) {
            if (other.team == team && other.description.service() && !other.over()) {
                replicas = replicas.plus(other.room.times(other.placements().size()));
            }
        }
        String waited = "job " + job.uid() + " has waited for " + (world.nowMicros - job.sinceMicros()) / 1_000_000 + " s and needs room for "
                + needed(job) + " tasks to begin: the limit of team " + team.team.name() + " leaves " + job.allowed();
        if (team.withinLimit(replicas.plus(job.room.times(needed(job))))) {
            turns.put(team, new Turn(job, world.nowMicros));
            world.note(waited + ", and no other job gets any until it has");
        } else {
            passed.put(job, world.nowMicros + TURN_MICROS);
            world.note(waited + ", and replicas that stay use " + replicas.cpu() / 1000 + " CPUs of it");
        }
    }

    private static boolean waits(Job job) {
        return !job.over() && job.pending() > 0 && !job.begun();
    }

    /** With how many tasks the job begins: a gang with all of them. */
    private static int needed(Job job) {
        return job.description.gang() ? job.pending() : 1;
    }
}
