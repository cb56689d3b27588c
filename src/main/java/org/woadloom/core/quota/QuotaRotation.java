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
 * Gives jobs that are starved by their team's limit a turn, one job of a team at a time, the
 * longest waiting first.
 *
 * <p>Quota that is freed at a reached limit goes to whatever task fits, so a gang, or a task larger
 * than those that end, could wait behind smaller ones indefinitely. A job that has waited long
 * enough without starting therefore gets a turn: until it starts, or the turn expires, freed quota
 * that it needs to start is kept from the other jobs of its team. No task is preempted for it. Jobs
 * that have not started come first; a started job that has had no task placed for as long gets a
 * turn for its next task.
 */
public final class QuotaRotation {
    /** How long a job waits before it gets a turn: well below the start objective of 4 minutes. */
    private static final long MIN_WAIT_MICROS = 100_000_000;

    /** How long a turn lasts at most, and how long its job then waits for the next one. */
    private static final long MAX_TURN_MICROS = 60_000_000;

    /** After consecutive turns for this long, the team has a pause without turns. */
    private static final long MAX_CONSECUTIVE_TURNS_MICROS = 60_000_000;

    /** How long the team's other jobs then get the freed quota. */
    private static final long PAUSE_MICROS = 5_000_000;

    /**
     * A job that has not started although the limit has allowed it for this long lacks something
     * else, such as a machine.
     */
    private static final long START_TIMEOUT_MICROS = 30_000_000;

    /** In place of a time: the limit does not allow the job what it needs. */
    private static final long NOT_ALLOWED = -1;

    private final SchedulerState state;
    private final Reservations reservations;
    private final Map<TeamQuota, Turn> turns = new HashMap<>();

    /**
     * For jobs that had a turn, or were refused one, and did not start: when they may get the next.
     */
    private final Map<Job, Long> noTurnUntilMicros = new HashMap<>();

    /** For teams with a turn: since when one turn has followed another without a gap. */
    private final Map<TeamQuota, Long> consecutiveTurnsSinceMicros = new HashMap<>();

    /** Until when each team gets no turn. */
    private final Map<TeamQuota, Long> pausedUntilMicros = new HashMap<>();

    private static final class Turn {
        final Job job;
        final long sinceMicros;
        final boolean hadStarted;

        /** Since when the limit has allowed the job what it needs. */
        long startAllowedSinceMicros = NOT_ALLOWED;

        Turn(Job job, long sinceMicros) {
            this.job = job;
            this.sinceMicros = sinceMicros;
            this.hadStarted = job.hasStarted();
        }

        /** True while what the turn is for, the job's start or its next task, has not happened. */
        boolean isUnused() {
            boolean isUsed = hadStarted ? job.lastPlacedMicros() >= sinceMicros : job.hasStarted();
            return QuotaRotation.hasPendingTasks(job) && !isUsed;
        }
    }

    public QuotaRotation(SchedulerState state, Reservations reservations) {
        this.state = state;
        this.reservations = reservations;
    }

    /** Ends turns that are over and starts new ones. To be called before tasks are placed. */
    public void update() {
        noTurnUntilMicros
                .entrySet()
                .removeIf(
                        entry ->
                                entry.getValue() < state.nowMicros() || entry.getKey().isRemoved());
        turns.values().removeIf(this::updateAndCheckOver);
        pauseAfterConsecutiveTurns();
        nextCandidates().forEach(this::startTurn);
        consecutiveTurnsSinceMicros.keySet().retainAll(turns.keySet());
        turns.keySet()
                .forEach(team -> consecutiveTurnsSinceMicros.putIfAbsent(team, state.nowMicros()));
        for (TeamQuota team : state.teams().values()) {
            applyTurn(team);
        }
    }

    /**
     * Updates the turn and returns true if it is over. If it ends unused, its job must wait before
     * it gets another.
     */
    private boolean updateAndCheckOver(Turn turn) {
        if (reservations.hasOtherOwnerInTeam(turn.job)) {
            // A job that has reserved machines goes first: the turn and the reservations would each
            // hold quota that the other needs.
            return true;
        }
        if (turn.job.allowedTasks() < tasksToStart(turn.job)) {
            turn.startAllowedSinceMicros = NOT_ALLOWED;
        } else if (turn.startAllowedSinceMicros == NOT_ALLOWED) {
            turn.startAllowedSinceMicros = state.nowMicros();
        }
        boolean isExpired = isExpired(turn);
        boolean isUnused = turn.isUnused();
        if (isExpired && isUnused) {
            noTurnUntilMicros.put(turn.job, state.nowMicros() + MAX_TURN_MICROS);
            state.log(
                    LogEntry.info(LogEvent.QUOTA_TURN_EXPIRED)
                            .with("job", turn.job.jobId())
                            .with("team", turn.job.teamQuota.team.name())
                            .withSeconds("turn_s", state.nowMicros() - turn.sinceMicros));
        }
        return isExpired || !isUnused;
    }

    private boolean isExpired(Turn turn) {
        return state.nowMicros() - turn.sinceMicros > MAX_TURN_MICROS
                || (turn.startAllowedSinceMicros != NOT_ALLOWED
                        && state.nowMicros() - turn.startAllowedSinceMicros > START_TIMEOUT_MICROS);
    }

    private void pauseAfterConsecutiveTurns() {
        consecutiveTurnsSinceMicros.forEach(
                (team, since) -> {
                    if (!turns.containsKey(team)
                            && state.nowMicros() - since > MAX_CONSECUTIVE_TURNS_MICROS) {
                        pausedUntilMicros.put(team, state.nowMicros() + PAUSE_MICROS);
                    }
                });
    }

    /** For each team without a turn, the job that gets the next one; none if no job needs one. */
    private Map<TeamQuota, Job> nextCandidates() {
        Map<TeamQuota, Job> candidates = new HashMap<>();
        for (Job job : state.jobs().values()) {
            if (needsTurn(job)) {
                candidates.merge(job.teamQuota, job, QuotaRotation::preferred);
            }
        }
        return candidates;
    }

    private boolean needsTurn(Job job) {
        return !turns.containsKey(job.teamQuota)
                && !isPaused(job.teamQuota)
                && hasPendingTasks(job)
                && !noTurnUntilMicros.containsKey(job)
                && state.nowMicros() - job.waitingSinceMicros() > MIN_WAIT_MICROS
                && job.allowedTasks() < tasksToStart(job)
                && !reservations.hasOtherOwnerInTeam(job);
    }

    /** Prefers a job that has not started, then the one that has waited longer. */
    private static Job preferred(Job one, Job other) {
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
            team.setTurn(turn.job, turn.job.taskResources.times(tasksToStart(turn.job)));
        }
    }

    private boolean isPaused(TeamQuota team) {
        return state.nowMicros() < pausedUntilMicros.getOrDefault(team, Long.MIN_VALUE);
    }

    /**
     * Starts a turn, or makes the job wait if the team's service replicas leave too little of the
     * limit for it.
     */
    private void startTurn(TeamQuota team, Job job) {
        Resources replicas = usedByReplicas(team);
        boolean isPossible =
                team.fitsLimit(replicas.plus(job.taskResources.times(tasksToStart(job))));
        if (isPossible) {
            turns.put(team, new Turn(job, state.nowMicros()));
        } else {
            noTurnUntilMicros.put(job, state.nowMicros() + MAX_TURN_MICROS);
        }
        LogEvent event = isPossible ? LogEvent.QUOTA_TURN_STARTED : LogEvent.QUOTA_TURN_IMPOSSIBLE;
        state.log(
                LogEntry.info(event)
                        .with("job", job.jobId())
                        .with("team", team.team.name())
                        .withSeconds("waited_s", state.nowMicros() - job.waitingSinceMicros())
                        .with("needed_tasks", tasksToStart(job))
                        .with("allowed_tasks", job.allowedTasks())
                        .with("replica_cpus", replicas.cpu() / Resources.SCALE));
    }

    /**
     * The resources that the team's service replicas use. Replicas do not end by themselves, so a
     * turn can't wait for their quota.
     */
    private Resources usedByReplicas(TeamQuota team) {
        Resources used = Resources.NONE;
        for (Job job : state.jobs().values()) {
            if (job.teamQuota == team && job.description.isService() && !job.isTerminal()) {
                used = used.plus(job.taskResources.times(job.attempts().size()));
            }
        }
        return used;
    }

    private static boolean hasPendingTasks(Job job) {
        return !job.isTerminal() && job.pendingTaskCount() > 0;
    }

    /** How many tasks the job needs to start at once: all of a gang, otherwise one. */
    private static int tasksToStart(Job job) {
        return job.description.isGang() ? job.pendingTaskCount() : 1;
    }
}
