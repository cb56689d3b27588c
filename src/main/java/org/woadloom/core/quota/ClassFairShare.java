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
 * The least share of a team that asks for more than its limit: each of its classes that has work
 * gets a part of the limit, as far as it can use it, whatever rank the others have. Without that a
 * team's arrays would wait for ever behind services that stay for as long as their users like.
 * Nothing is stopped for it: what a class does not use of its share is kept from the team's other
 * classes while it has work waiting. Teams whose work fits into their limit are not concerned.
 */
public final class ClassFairShare {
    /** What is divided evenly among the classes; the rest goes by the order of service alone. */
    private static final double GUARANTEED_SHARE = 2.0 / 3;

    private static final long LOG_INTERVAL_MICROS = 60_000_000;

    /**
     * A class for which the limit has long had room waits for a machine: meanwhile its share is not
     * kept from the others.
     */
    private static final long UNUSED_MICROS = 75_000_000;

    private final SchedulerState state;
    private final Map<TeamQuota, Long> loggedMicros = new HashMap<>();

    /** Since when the limit has had room for a job of the class that waits, by team and class. */
    private final Map<TeamQuota, Map<String, Long>> unusedMicros = new HashMap<>();

    /** One class of a team: what its tasks use, what those ask for that wait, and one of them. */
    private static final class Demand {
        Resources used = Resources.NONE;
        Resources waiting = Resources.NONE;
        Resources task = Resources.NONE;

        /** What the job that needs the least begins with, null while none waits. */
        Resources smallestStart;
    }

    public ClassFairShare(SchedulerState state) {
        this.state = state;
    }

    /** To be called before tasks are placed. */
    public void update() {
        Map<TeamQuota, Map<String, Demand>> demands = new LinkedHashMap<>();
        for (Job job : state.jobs().values()) {
            if (job.pendingTasks() > 0 || !job.attempts().isEmpty()) {
                Demand demand =
                        demands.computeIfAbsent(job.team, t -> new LinkedHashMap<>())
                                .computeIfAbsent(job.description.jobClass(), c -> new Demand());
                demand.used = demand.used.plus(job.taskResources.times(job.attempts().size()));
                demand.waiting = demand.waiting.plus(job.taskResources.times(job.pendingTasks()));
                demand.task = job.pendingTasks() > 0 ? job.taskResources : demand.task;
                if (job.pendingTasks() > 0) {
                    Resources begins =
                            job.taskResources.times(
                                    job.description.isGang() ? job.pendingTasks() : 1);
                    demand.smallestStart =
                            demand.smallestStart == null || demand.smallestStart.contains(begins)
                                    ? begins
                                    : demand.smallestStart;
                }
            }
        }
        for (TeamQuota team : state.teams().values()) {
            team.setKeptForClasses(keptForClasses(team, demands.getOrDefault(team, Map.of())));
        }
    }

    /** What is kept for each class that waits and has less than its share. */
    private Map<String, Resources> keptForClasses(TeamQuota team, Map<String, Demand> demands) {
        Resources all = Resources.NONE;
        for (Demand demand : demands.values()) {
            all = all.plus(demand.used).plus(demand.waiting);
        }
        if (demands.size() < 2 || team.fitsLimit(all)) {
            unusedMicros.remove(team);
            return Map.of();
        }
        Map<String, Long> unused = unusedMicros.computeIfAbsent(team, t -> new HashMap<>());
        unused.keySet().retainAll(demands.keySet());
        Resources share = team.partOfLimit(GUARANTEED_SHARE / demands.size());
        Map<String, Resources> kept = new LinkedHashMap<>();
        demands.forEach(
                (name, demand) -> {
                    Resources missing =
                            share.minus(demand.used).withoutNegatives().min(demand.waiting);
                    if (demand.used.equals(Resources.NONE) && !missing.contains(demand.task)) {
                        // Less than a task would be nothing at all.
                        missing = demand.task;
                    }
                    if (demand.smallestStart == null
                            || !team.fitsLimit(team.used().plus(demand.smallestStart))) {
                        unused.remove(name);
                    } else if (state.nowMicros()
                                    - unused.computeIfAbsent(name, n -> state.nowMicros())
                            > UNUSED_MICROS) {
                        return;
                    }
                    if (missing.cpu() > 0 || missing.gpu() > 0) {
                        kept.put(name, missing);
                    }
                });
        logDemand(team, demands, all);
        return kept;
    }

    private void logDemand(TeamQuota team, Map<String, Demand> demands, Resources all) {
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
                                        .with("asked_cpus", all.cpu() / 1000)
                                        .with("asked_gpus", all.gpu() / 1000)
                                        .with("class", name)
                                        .with("used_cpus", demand.used.cpu() / 1000)
                                        .with("waiting_cpus", demand.waiting.cpu() / 1000)));
    }
}
