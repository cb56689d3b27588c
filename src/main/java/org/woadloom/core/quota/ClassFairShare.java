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
 * The minimum share of each job class in a team that asks for more than its limit.
 *
 * <p>Each class that has work gets a part of the limit, as far as it can use it, whatever the
 * priority of the others. Without that a team's arrays would wait for ever behind services, which
 * stay for as long as their users like. Nothing is stopped for it: what a class does not use of its
 * share is kept from the team's other classes while it has work waiting. Teams whose work fits into
 * their limit are not concerned.
 */
public final class ClassFairShare {
    /** What is divided evenly among the classes; the rest goes by the queue's order alone. */
    private static final double GUARANTEED_SHARE = 2.0 / 3;

    private static final long LOG_INTERVAL_MICROS = 60_000_000;

    /**
     * A class that has not used its share for so long, though the limit allows it, waits for a
     * machine: until it uses it the share is not kept from the others.
     */
    private static final long UNUSED_MICROS = 75_000_000;

    private final SchedulerState state;
    private final Map<TeamQuota, Long> loggedMicros = new HashMap<>();

    /** Since when the limit has allowed a waiting job of the class to start, by team and class. */
    private final Map<TeamQuota, Map<String, Long>> unusedMicros = new HashMap<>();

    /** What one class of a team uses and asks for. */
    private static final class Demand {
        Resources used = Resources.NONE;
        Resources waiting = Resources.NONE;

        /** One task of a job that waits. */
        Resources task = Resources.NONE;

        /** What the smallest job that waits needs to start, null while none waits. */
        Resources smallestStart;

        void add(Job job) {
            int pending = job.pendingTaskCount();
            used = used.plus(job.taskResources.times(job.attempts().size()));
            waiting = waiting.plus(job.taskResources.times(pending));
            if (pending > 0) {
                task = job.taskResources;
                Resources start = job.taskResources.times(job.description.isGang() ? pending : 1);
                if (smallestStart == null || smallestStart.contains(start)) {
                    smallestStart = start;
                }
            }
        }

        /** What the class lacks of its share and could use. */
        Resources missing(Resources share) {
            Resources missing = share.minus(used).clampToNonNegative().min(waiting);
            // Less than a task would be nothing at all.
            return used.equals(Resources.NONE) && !missing.contains(task) ? task : missing;
        }
    }

    public ClassFairShare(SchedulerState state) {
        this.state = state;
    }

    /** Computes what is kept for each class; to be called before tasks are placed. */
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

    /** What is kept for each class that waits and has less than its share. */
    private Map<String, Resources> keptForClasses(TeamQuota team, Map<String, Demand> demands) {
        Resources total = Resources.NONE;
        for (Demand demand : demands.values()) {
            total = total.plus(demand.used).plus(demand.waiting);
        }
        if (demands.size() < 2 || team.fitsLimit(total)) {
            unusedMicros.remove(team);
            return Map.of();
        }
        Map<String, Long> unusedSince = unusedMicros.computeIfAbsent(team, t -> new HashMap<>());
        unusedSince.keySet().retainAll(demands.keySet());
        Resources share = team.partOfLimit(GUARANTEED_SHARE / demands.size());
        Map<String, Resources> kept = new LinkedHashMap<>();
        demands.forEach(
                (name, demand) -> {
                    Resources missing = demand.missing(share);
                    if (!leavesUnused(team, name, demand, unusedSince)
                            && (missing.cpu() > 0 || missing.gpu() > 0)) {
                        kept.put(name, missing);
                    }
                });
        logDemand(team, demands, total);
        return kept;
    }

    /** True if the limit has long allowed a waiting job of the class to start and none did. */
    private boolean leavesUnused(
            TeamQuota team, String jobClass, Demand demand, Map<String, Long> unusedSince) {
        if (demand.smallestStart == null
                || !team.fitsLimit(team.used().plus(demand.smallestStart))) {
            unusedSince.remove(jobClass);
            return false;
        }
        long since = unusedSince.computeIfAbsent(jobClass, name -> state.nowMicros());
        return state.nowMicros() - since > UNUSED_MICROS;
    }

    private void logDemand(TeamQuota team, Map<String, Demand> demands, Resources total) {
        if (state.nowMicros() - loggedMicros.getOrDefault(team, Long.MIN_VALUE / 2)
                < LOG_INTERVAL_MICROS) {
            return;
        }
        loggedMicros.put(team, state.nowMicros());
        demands.forEach(
                (name, demand) ->
                        state.log(
                                LogEntry.info(LogEvent.QUOTA_EXCEEDED)
                                        .with("team", team.team.name())
                                        .with("asked_cpus", total.cpu() / Resources.SCALE)
                                        .with("asked_gpus", total.gpu() / Resources.SCALE)
                                        .with("class", name)
                                        .with("used_cpus", demand.used.cpu() / Resources.SCALE)
                                        .with(
                                                "waiting_cpus",
                                                demand.waiting.cpu() / Resources.SCALE)));
    }
}
