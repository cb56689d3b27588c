package org.woadloom.sim;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.woadloom.protocol.JobDescription;
import org.woadloom.settings.ServiceSettings;

/**
 * {@link ProtocolRule#LEFT_WAITING}: while no fault is active, no task waits longer than 90 s
 * although a machine has capacity for the task and the limit of the task's team allows it.
 *
 * <p>This check compares a team's limit with the CPUs of all tasks that are on machines, also of
 * those that still fetch their image, and of tasks that ended in the last 4 s, whose end the leader
 * may not know yet. Otherwise a team whose short tasks follow each other would seem to be below its
 * limit. Gangs and jobs with rules about zones are not checked, as they need more than capacity for
 * one task.
 */
final class ProgressInvariant extends Invariant {
    private static final long MAX_WAIT_MICROS = 90_000_000;

    /**
     * Time for two heartbeats and a store write, after which the leader knows that a task ended and
     * the job record has the next task.
     */
    private static final long MAX_RELEASE_DELAY_MICROS = 4_000_000;

    private record ReleasedCpus(long micros, String team, double cpus) {}

    private final SimulatedEventLoop loop;
    private final ObservedState observed;
    private final ServiceSettings settings;
    private final ArrayDeque<ReleasedCpus> recentlyReleased = new ArrayDeque<>();

    /** For each job that waits although it could run: since when. */
    private final Map<String, Long> waitingSinceMicros = new HashMap<>();

    ProgressInvariant(SimulatedEventLoop loop, ObservedState observed, ServiceSettings settings) {
        this.loop = loop;
        this.observed = observed;
        this.settings = settings;
    }

    @Override
    void onTaskEnd(JobDescription job) {
        recentlyReleased.add(new ReleasedCpus(loop.now(), job.team(), job.cpus()));
    }

    @Override
    void checkProgress(Collection<SimulatedAgent> agents) {
        if (loop.now() < observed.faultFreeFromMicros) {
            return;
        }
        for (String jobId : observed.acceptedJobs()) {
            if (!isRunnable(jobId) || !hasCapacity(observed.job(jobId), agents)) {
                waitingSinceMicros.remove(jobId);
                continue;
            }
            long sinceMicros = waitingSinceMicros.computeIfAbsent(jobId, key -> loop.now());
            if (loop.now() - sinceMicros > MAX_WAIT_MICROS) {
                throw new InvariantViolation(
                        ProtocolRule.LEFT_WAITING,
                        jobId
                                + " has had waiting tasks despite free capacity since second "
                                + sinceMicros / 1_000_000
                                + ", allowed are "
                                + MAX_WAIT_MICROS / 1_000_000
                                + " s");
            }
        }
    }

    private boolean isRunnable(String jobId) {
        JobDescription job = observed.job(jobId);
        return !observed.hasFinalStatus(jobId)
                && !observed.isCancelRequested(jobId)
                && observed.dependencyCancelledMicros(jobId) == null
                && !job.isGang()
                && !job.sameZone()
                && !job.spreadAcrossZones()
                && job.dependencies().stream().allMatch(observed::areAllTasksDone)
                && observed.hasWaitingTask(job);
    }

    private boolean hasCapacity(JobDescription job, Collection<SimulatedAgent> agents) {
        double limit = settings.team(job.team()).cpusMax();
        return cpusHeldOrRecentlyReleased(job.team(), agents) + job.cpus() <= limit
                && agents.stream().anyMatch(agent -> agent.canStartTask(job));
    }

    private double cpusHeldOrRecentlyReleased(String team, Collection<SimulatedAgent> agents) {
        recentlyReleased.removeIf(end -> loop.now() - end.micros > MAX_RELEASE_DELAY_MICROS);
        double cpus = 0;
        for (SimulatedAgent agent : agents) {
            cpus += agent.cpusHeldBy(team);
        }
        for (ReleasedCpus end : recentlyReleased) {
            cpus += end.team.equals(team) ? end.cpus : 0;
        }
        return cpus;
    }
}
