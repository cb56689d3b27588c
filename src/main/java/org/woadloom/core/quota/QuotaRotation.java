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
 * A reservation against a team's limit, for one job of the team at a time, oldest first.
 *
 * <p>What comes free of a limit that is reached goes to whatever fits into it, so a gang, or a task
 * larger than those that end, might wait behind smaller ones for ever. Once such a job has waited
 * for a while without starting it gets a turn, in which the other jobs of its team leave it what it
 * needs to start. Nothing is stopped for it. Jobs that have not started come first; a started one
 * of which nothing was placed for as long gets a turn for its next task.
 */
public final class QuotaRotation {
    /** How long a job waits before it gets a turn: well under the four minutes to its start. */
    private static final long PATIENCE_MICROS = 100_000_000;

    /** How long a turn lasts, and how long its job then waits for the next one. */
    private static final long TURN_MICROS = 60_000_000;

    /** After turns in a row for so long the others of the team get what is free for a while. */
    private static final long MAX_CONSECUTIVE_MICROS = 60_000_000;

    /** How long that while is. */
    private static final long PAUSE_MICROS = 5_000_000;

    /**
     * A job for which the limit has sufficed for so long without a start lacks something else, such
     * as a machine.
     */
    private static final long START_TIMEOUT_MICROS = 30_000_000;

    /** In place of a time: the limit does not leave the job what it needs. */
    private static final long NOT_SUFFICIENT = -1;

    private final SchedulerState state;
    private final Reservations reservations;
    private final Map<TeamQuota, Turn> turns = new HashMap<>();

    /** Jobs that had a turn and could not start, and until when they have no other. */
    private final Map<Job, Long> waitingForNextTurn = new HashMap<>();

    /** Since when each team has had one turn after the other. */
    private final Map<TeamQuota, Long> turnsSinceMicros = new HashMap<>();

    /** Until when each team has no turn. */
    private final Map<TeamQuota, Long> pausedUntilMicros = new HashMap<>();

    private static final class Turn {
        final Job job;
        final long sinceMicros;
        final boolean hadStarted;

        /** Since when the limit leaves it what it needs. */
        long sufficientSinceMicros = NOT_SUFFICIENT;

        Turn(Job job, long sinceMicros) {
            this.job = job;
            this.sinceMicros = sinceMicros;
            this.hadStarted = job.hasStarted();
        }

        /** True while the job has not got what the turn is for: its start, or its next task. */
        boolean isWaiting() {
            boolean isServed =
                    hadStarted ? job.lastPlacedMicros() >= sinceMicros : job.hasStarted();
            return QuotaRotation.isWaiting(job) && !isServed;
        }
    }

    public QuotaRotation(SchedulerState state, Reservations reservations) {
        this.state = state;
        this.reservations = reservations;
    }

    /** Ends turns that are over and starts new ones; to be called before tasks are placed. */
    public void update() {
        waitingForNextTurn
                .entrySet()
                .removeIf(
                        entry ->
                                entry.getValue() < state.nowMicros() || entry.getKey().isRemoved());
        turns.values().removeIf(this::endsNow);
        pauseAfterConsecutiveTurns();
        oldestCandidates().forEach(this::startTurn);
        turnsSinceMicros.keySet().retainAll(turns.keySet());
        turns.keySet().forEach(team -> turnsSinceMicros.putIfAbsent(team, state.nowMicros()));
        for (TeamQuota team : state.teams().values()) {
            applyTurn(team);
        }
    }

    /** Decides whether a turn ends; one that ends without a start makes its job wait. */
    private boolean endsNow(Turn turn) {
        if (reservations.hasOtherOwnerInTeam(turn.job)) {
            // One that has reserved resources on machines is further; each would keep the other's
            // limit.
            return true;
        }
        if (turn.job.allowedTasks() < tasksNeeded(turn.job)) {
            turn.sufficientSinceMicros = NOT_SUFFICIENT;
        } else if (turn.sufficientSinceMicros == NOT_SUFFICIENT) {
            turn.sufficientSinceMicros = state.nowMicros();
        }
        boolean isExpired = isExpired(turn);
        boolean isWaiting = turn.isWaiting();
        if (isExpired && isWaiting) {
            waitingForNextTurn.put(turn.job, state.nowMicros() + TURN_MICROS);
            state.log(
                    LogEntry.info(LogEvent.QUOTA_TURN_EXPIRED)
                            .with("job", turn.job.jobId())
                            .with("team", turn.job.teamQuota.team.name())
                            .withSeconds("turn_s", state.nowMicros() - turn.sinceMicros));
        }
        return isExpired || !isWaiting;
    }

    private boolean isExpired(Turn turn) {
        return state.nowMicros() - turn.sinceMicros > TURN_MICROS
                || (turn.sufficientSinceMicros != NOT_SUFFICIENT
                        && state.nowMicros() - turn.sufficientSinceMicros > START_TIMEOUT_MICROS);
    }

    private void pauseAfterConsecutiveTurns() {
        turnsSinceMicros.forEach(
                (team, since) -> {
                    if (!turns.containsKey(team)
                            && state.nowMicros() - since > MAX_CONSECUTIVE_MICROS) {
                        pausedUntilMicros.put(team, state.nowMicros() + PAUSE_MICROS);
                    }
                });
    }

    /** For each team without a turn, the job that is to have the next one, if any needs one. */
    private Map<TeamQuota, Job> oldestCandidates() {
        Map<TeamQuota, Job> oldest = new HashMap<>();
        for (Job job : state.jobs().values()) {
            if (needsTurn(job)) {
                oldest.merge(job.teamQuota, job, QuotaRotation::nextOf);
            }
        }
        return oldest;
    }

    private boolean needsTurn(Job job) {
        return !turns.containsKey(job.teamQuota)
                && !isPaused(job.teamQuota)
                && isWaiting(job)
                && !waitingForNextTurn.containsKey(job)
                && state.nowMicros() - job.waitingSinceMicros() > PATIENCE_MICROS
                && job.allowedTasks() < tasksNeeded(job)
                && !reservations.hasOtherOwnerInTeam(job);
    }

    /**
     * The one of two that comes first: one that has not started, then the one that waits longer.
     */
    private static Job nextOf(Job one, Job other) {
        if (one.hasStarted() != other.hasStarted()) {
            return one.hasStarted() ? other : one;
        }
        return other.waitingSinceMicros() < one.waitingSinceMicros() ? other : one;
    }

    private void applyTurn(TeamQuota team) {
        Turn turn = turns.get(team);
        if (turn == null) {
            team.setTurn(null, Resources.NONE);
        } else {
            team.setTurn(turn.job, turn.job.taskResources.times(tasksNeeded(turn.job)));
        }
    }

    private boolean isPaused(TeamQuota team) {
        return state.nowMicros() < pausedUntilMicros.getOrDefault(team, Long.MIN_VALUE);
    }

    /** Starts a turn, or makes the job wait if the team's replicas leave it too little. */
    private void startTurn(TeamQuota team, Job job) {
        Resources replicas = usedByReplicas(team);
        boolean isPossible =
                team.fitsLimit(replicas.plus(job.taskResources.times(tasksNeeded(job))));
        if (isPossible) {
            turns.put(team, new Turn(job, state.nowMicros()));
        } else {
            waitingForNextTurn.put(job, state.nowMicros() + TURN_MICROS);
        }
        LogEvent event = isPossible ? LogEvent.QUOTA_TURN_STARTED : LogEvent.QUOTA_TURN_IMPOSSIBLE;
        state.log(
                LogEntry.info(event)
                        .with("job", job.jobId())
                        .with("team", team.team.name())
                        .withSeconds("waited_s", state.nowMicros() - job.waitingSinceMicros())
                        .with("needed_tasks", tasksNeeded(job))
                        .with("allowed_tasks", job.allowedTasks())
                        .with("replica_cpus", replicas.cpu() / Resources.SCALE));
    }

    /** What a team's replicas use: it does not come free by itself, so no turn waits for it. */
    private Resources usedByReplicas(TeamQuota team) {
        Resources used = Resources.NONE;
        for (Job job : state.jobs().values()) {
            if (job.teamQuota == team && job.description.isService() && !job.isTerminal()) {
                used = used.plus(job.taskResources.times(job.attempts().size()));
            }
        }
        return used;
    }

    private static boolean isWaiting(Job job) {
        return !job.isTerminal() && job.pendingTaskCount() > 0;
    }

    /** With how many tasks the job starts: a gang with all of them. */
    private static int tasksNeeded(Job job) {
        return job.description.isGang() ? job.pendingTaskCount() : 1;
    }
}
