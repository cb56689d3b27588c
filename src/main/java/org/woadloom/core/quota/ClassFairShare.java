package org.woadloom.core.quota;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.Resources;

/**
 * Keeps a minimum share of a team's limit for each of its job classes while the team asks for more
 * than the limit.
 *
 * <p>Each class with work gets an equal part of the limit, as far as it can use it, regardless of
 * the priority of the other classes. Otherwise a team's array jobs would wait indefinitely behind
 * services, which run until their users stop them. No task is preempted for this: while a class has
 * pending tasks, the unused part of its share is not available to the team's other classes. Teams
 * whose demand fits their limit are not affected.
 */
public final class ClassFairShare {
    /** The part of the limit that is divided evenly; the rest is assigned in queue order. */
    private static final double DIVIDED_PART_OF_LIMIT = 2.0 / 3;

    private static final long LOG_INTERVAL_MICROS = 60_000_000;

    /**
     * A class that starts no job for this long although the limit allows it is waiting for a
     * machine; its share is then available to the other classes until the limit no longer allows it
     * to start one.
     */
    private static final long UNUSED_SHARE_TIMEOUT_MICROS = 75_000_000;

    private final SchedulerState state;
    private final Map<TeamQuota, Long> lastLogMicros = new HashMap<>();

    /** Since when the limit has allowed a pending job of the class to start, by team and class. */
    private final Map<TeamQuota, Map<String, Long>> startAllowedSinceMicros = new HashMap<>();

    /** The resources that one class of a team uses and waits for. */
    private static final class Demand {
        Resources used = Resources.NONE;
        Resources pending = Resources.NONE;

        /** The resources of one pending task. */
        Resources pendingTask = Resources.NONE;

        /** The resources that the smallest pending job needs to start; null if none is pending. */
        Resources smallestPendingStart;

        void add(Job job) {
            int pendingTasks = job.pendingTaskCount();
            used = used.plus(job.taskResources.times(job.attempts().size()));
            pending = pending.plus(job.taskResources.times(pendingTasks));
            if (pendingTasks > 0) {
                pendingTask = job.taskResources;
                Resources start =
                        job.taskResources.times(job.description.isGang() ? pendingTasks : 1);
                if (smallestPendingStart == null || smallestPendingStart.contains(start)) {
                    smallestPendingStart = start;
                }
            }
        }

        /** The unused part of the class's share, at most what its pending tasks need. */
        Resources unusedShare(Resources share) {
            Resources unused = share.minus(used).clampToNonNegative().min(pending);
            // A class that uses nothing gets at least one task: it could not use less than that.
            return used.equals(Resources.NONE) && !unused.contains(pendingTask)
                    ? pendingTask
                    : unused;
        }
    }

    public ClassFairShare(SchedulerState state) {
        this.state = state;
    }

    /** Computes what is kept for each class. To be called before tasks are placed. */
    public void update() {
        Map<TeamQuota, Map<String, Demand>> demands = demandByTeamAndClass();
        for (TeamQuota team : state.teams().values()) {
            team.setKeptForClasses(keptForClasses(team, demands.getOrDefault(team, Map.of())));
        }
    }

    private Map<TeamQuota, Map<String, Demand>> demandByTeamAndClass() {
        Map<TeamQuota, Map<String, Demand>> demands = new LinkedHashMap<>();
        for (Job job : state.jobs().values()) {
            if (job.pendingTaskCount() > 0 || !job.attempts().isEmpty()) {
                demands.computeIfAbsent(job.teamQuota, team -> new LinkedHashMap<>())
                        .computeIfAbsent(job.description.jobClass(), name -> new Demand())
                        .add(job);
            }
        }
        return demands;
    }

    /** The resources kept for each class that has pending tasks and uses less than its share. */
    private Map<String, Resources> keptForClasses(TeamQuota team, Map<String, Demand> demands) {
        Resources totalDemand = Resources.NONE;
        for (Demand demand : demands.values()) {
            totalDemand = totalDemand.plus(demand.used).plus(demand.pending);
        }
        if (demands.size() < 2 || team.fitsLimit(totalDemand)) {
            startAllowedSinceMicros.remove(team);
            return Map.of();
        }
        Map<String, Long> startAllowedSince =
                startAllowedSinceMicros.computeIfAbsent(team, t -> new HashMap<>());
        startAllowedSince.keySet().retainAll(demands.keySet());
        Resources share = team.fractionOfLimit(DIVIDED_PART_OF_LIMIT / demands.size());
        Map<String, Resources> kept = new LinkedHashMap<>();
        demands.forEach(
                (name, demand) -> {
                    Resources unusedShare = demand.unusedShare(share);
                    if (!isShareLeftUnused(team, name, demand, startAllowedSince)
                            && (unusedShare.cpu() > 0 || unusedShare.gpu() > 0)) {
                        kept.put(name, unusedShare);
                    }
                });
        logDemand(team, demands, totalDemand);
        return kept;
    }

    /**
     * True if the limit has allowed a pending job of the class to start for longer than {@link
     * #UNUSED_SHARE_TIMEOUT_MICROS}.
     */
    private boolean isShareLeftUnused(
            TeamQuota team, String jobClass, Demand demand, Map<String, Long> startAllowedSince) {
        if (demand.smallestPendingStart == null
                || !team.fitsLimit(team.used().plus(demand.smallestPendingStart))) {
            startAllowedSince.remove(jobClass);
            return false;
        }
        long since = startAllowedSince.computeIfAbsent(jobClass, name -> state.nowMicros());
        return state.nowMicros() - since > UNUSED_SHARE_TIMEOUT_MICROS;
    }

    private void logDemand(TeamQuota team, Map<String, Demand> demands, Resources totalDemand) {
        if (state.nowMicros() - lastLogMicros.getOrDefault(team, Long.MIN_VALUE / 2)
                < LOG_INTERVAL_MICROS) {
            return;
        }
        lastLogMicros.put(team, state.nowMicros());
        demands.forEach(
                (name, demand) ->
                        state.log(
                                LogEntry.info(LogEvent.QUOTA_EXCEEDED)
                                        .with("team", team.team.name())
                                        .with("asked_cpus", totalDemand.cpu() / Resources.SCALE)
                                        .with("asked_gpus", totalDemand.gpu() / Resources.SCALE)
                                        .with("class", name)
                                        .with("used_cpus", demand.used.cpu() / Resources.SCALE)
                                        .with(
                                                "waiting_cpus",
                                                demand.pending.cpu() / Resources.SCALE)));
    }
}
