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
     * After two heartbeats and a write the leader has learned of a task's end, and the record names
     * the next one.
     */
    private static final long MAX_RELEASE_MICROS = 4_000_000;

    private record ReleasedCpus(long micros, String team, double cpus) {}

    private final SimulatedEventLoop loop;
    private final ObservedState observed;
    private final ServiceSettings settings;
    private final ArrayDeque<ReleasedCpus> released = new ArrayDeque<>();

    /** Since when each job has been waiting though it could start. */
    private final Map<String, Long> waitingSinceMicros = new HashMap<>();

    ProgressInvariant(SimulatedEventLoop loop, ObservedState observed, ServiceSettings settings) {
        this.loop = loop;
        this.observed = observed;
        this.settings = settings;
    }

    @Override
    void onTaskEnd(JobDescription job) {
        released.add(new ReleasedCpus(loop.now(), job.team(), job.cpus()));
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
                                + " has tasks that wait while there is capacity, since "
                                + sinceMicros / 1_000_000
                                + " s");
            }
        }
    }

    private boolean isRunnable(String jobId) {
        JobDescription job = observed.job(jobId);
        return !observed.isOver(jobId)
                && !observed.isCancelRequested(jobId)
                && observed.dependencyCancelledMicros(jobId) == null
                && !job.isGang()
                && !job.sameZone()
                && !job.spreadAcrossZones()
                && job.dependencies().stream().allMatch(observed::isAllDone)
                && observed.hasWaitingTask(job);
    }

    private boolean hasCapacity(JobDescription job, Collection<SimulatedAgent> agents) {
        double limit = settings.team(job.team()).cpusMax();
        return heldOrJustReleased(job.team(), agents) + job.cpus() <= limit
                && agents.stream().anyMatch(agent -> agent.takes(job));
    }

    private double heldOrJustReleased(String team, Collection<SimulatedAgent> agents) {
        released.removeIf(end -> loop.now() - end.micros > MAX_RELEASE_MICROS);
        double cpus = 0;
        for (SimulatedAgent agent : agents) {
            cpus += agent.held(team);
        }
        for (ReleasedCpus end : released) {
            cpus += end.team.equals(team) ? end.cpus : 0;
        }
        return cpus;
    }
}
