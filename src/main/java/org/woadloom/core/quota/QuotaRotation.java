package org.woadloom.core.quota;

import java.util.HashMap;
import java.util.Map;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.Resources;
import org.woadloom.core.reservation.Reservations;

/**
 * A reservation against a team's limit, for one job of the team at a time, oldest first. What comes
 * free of a limit that is reached goes to whatever fits into it, so a gang, or a task larger than
 * those that end, might wait behind smaller ones for ever. Once such a job has waited for a while
 * without beginning, the others of its team leave it what it needs to begin. Nothing is stopped for
 * it.
 */
public final class QuotaRotation {
    /**
     * How long a job waits before the limit is gathered for it: well under the four minutes within
     * which it must begin.
     */
    private static final long PATIENCE_MICROS = 100_000_000;

    /**
     * How long others leave the limit to one job, and for how long it has no other turn after that.
     */
    private static final long TURN_MICROS = 60_000_000;

    /**
     * Turns follow each other for so long at most before the others of the team get what is free
     * for a while.
     */
    private static final long MAX_CONSECUTIVE_MICROS = 60_000_000;

    private static final long PAUSE_MICROS = 5_000_000;

    private final SchedulerState state;
    private final Reservations reservations;
    private final Map<TeamQuota, Turn> turns = new HashMap<>();

    /** Jobs that had a turn and could not begin, and until when they have no other. */
    private final Map<Job, Long> waitingForNextTurn = new HashMap<>();

    /** Since when each team has had one turn after the other. */
    private final Map<TeamQuota, Long> turnsSinceMicros = new HashMap<>();

    /** Until when each team has no turn. */
    private final Map<TeamQuota, Long> pausedUntilMicros = new HashMap<>();

    /**
     * A job for which there is enough of the limit and that has not begun for so long lacks
     * something else, such as a machine.
     */
    private static final long START_TIMEOUT_MICROS = 30_000_000;

    private static final class Turn {
        final Job job;
        final long sinceMicros;

        /** Since when the limit leaves it what it needs, -1 while it does not. */
        long sufficientSinceMicros = -1;

        Turn(Job job, long sinceMicros) {
            this.job = job;
            this.sinceMicros = sinceMicros;
        }
    }

    public QuotaRotation(SchedulerState state, Reservations reservations) {
        this.state = state;
        this.reservations = reservations;
    }

    /** To be called before tasks are placed. */
    public void update() {
        waitingForNextTurn
                .entrySet()
                .removeIf(
                        entry ->
                                entry.getValue() < state.nowMicros()
                                        || entry.getKey().isFinished());
        turns.values()
                .removeIf(
                        turn -> {
                            if (reservations.hasOthersInTeam(turn.job)) {
                                // One that has gathered room on machines is further; each would
                                // keep the other's limit.
                                return true;
                            }
                            if (turn.job.allowedTasks() < tasksNeeded(turn.job)) {
                                turn.sufficientSinceMicros = -1;
                            } else if (turn.sufficientSinceMicros < 0) {
                                turn.sufficientSinceMicros = state.nowMicros();
                            }
                            boolean over =
                                    state.nowMicros() - turn.sinceMicros > TURN_MICROS
                                            || turn.sufficientSinceMicros >= 0
                                                    && state.nowMicros()
                                                                    - turn.sufficientSinceMicros
                                                            > START_TIMEOUT_MICROS;
                            if (over && isWaiting(turn.job)) {
                                waitingForNextTurn.put(turn.job, state.nowMicros() + TURN_MICROS);
                                state.log(
                                        LogEntry.info(LogEvent.QUOTA_TURN_EXPIRED)
                                                .with("job", turn.job.jobId())
                                                .with("team", turn.job.team.team.name())
                                                .withSeconds(
                                                        "turn_s",
                                                        state.nowMicros() - turn.sinceMicros));
                            }
                            return over || !isWaiting(turn.job);
                        });
        turnsSinceMicros.forEach(
                (team, since) -> {
                    if (!turns.containsKey(team)
                            && state.nowMicros() - since > MAX_CONSECUTIVE_MICROS) {
                        pausedUntilMicros.put(team, state.nowMicros() + PAUSE_MICROS);
                    }
                });
        Map<TeamQuota, Job> next = new HashMap<>();
        for (Job job : state.jobs().values()) {
            if (!turns.containsKey(job.team)
                    && !isPaused(job.team)
                    && isWaiting(job)
                    && !waitingForNextTurn.containsKey(job)
                    && state.nowMicros() - job.queuedSinceMicros() > PATIENCE_MICROS
                    && job.allowedTasks() < tasksNeeded(job)
                    && !reservations.hasOthersInTeam(job)) {
                next.merge(
                        job.team,
                        job,
                        (a, b) -> b.queuedSinceMicros() < a.queuedSinceMicros() ? b : a);
            }
        }
        next.forEach(this::startTurn);
        turnsSinceMicros.keySet().retainAll(turns.keySet());
        turns.keySet().forEach(team -> turnsSinceMicros.putIfAbsent(team, state.nowMicros()));
        for (TeamQuota team : state.teams().values()) {
            Turn turn = turns.get(team);
            team.setTurn(
                    turn == null ? null : turn.job,
                    turn == null
                            ? Resources.NONE
                            : turn.job.taskResources.times(tasksNeeded(turn.job)));
        }
    }

    private boolean isPaused(TeamQuota team) {
        return state.nowMicros() < pausedUntilMicros.getOrDefault(team, Long.MIN_VALUE);
    }

    /**
     * What replicas use does not come free by itself: where they leave too little, there is nothing
     * to wait for.
     */
    private void startTurn(TeamQuota team, Job job) {
        Resources replicas = Resources.NONE;
        for (Job other : state.jobs().values()) {
            if (other.team == team && other.description.isService() && !other.isOver()) {
                replicas = replicas.plus(other.taskResources.times(other.attempts().size()));
            }
        }
        LogEvent event;
        if (team.fitsLimit(replicas.plus(job.taskResources.times(tasksNeeded(job))))) {
            event = LogEvent.QUOTA_TURN_STARTED;
            turns.put(team, new Turn(job, state.nowMicros()));
        } else {
            event = LogEvent.QUOTA_TURN_IMPOSSIBLE;
            waitingForNextTurn.put(job, state.nowMicros() + TURN_MICROS);
        }
        state.log(
                LogEntry.info(event)
                        .with("job", job.jobId())
                        .with("team", team.team.name())
                        .withSeconds("waited_s", state.nowMicros() - job.queuedSinceMicros())
                        .with("needed_tasks", tasksNeeded(job))
                        .with("allowed_tasks", job.allowedTasks())
                        .with("replica_cpus", replicas.cpu() / 1000));
    }

    private static boolean isWaiting(Job job) {
        return !job.isOver() && job.pendingTasks() > 0 && !job.hasStarted();
    }

    /** With how many tasks the job begins: a gang with all of them. */
    private static int tasksNeeded(Job job) {
        return job.description.isGang() ? job.pendingTasks() : 1;
    }
}
