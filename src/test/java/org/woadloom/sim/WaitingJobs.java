package org.woadloom.sim;

import java.util.HashMap;
import java.util.Map;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;

/**
 * Checks every second that no job waits for too long while suitable machines have capacity for it
 * and its team is below its quota.
 */
final class WaitingJobs {
    private static final long CHECK_INTERVAL_MICROS = 1_000_000;
    private static final long MAX_WAIT_MICROS = 90_000_000;

    private final ClusterSimulation cluster;
    private final long faultFreeFromMicros;
    private final Map<String, Long> waitingSinceMicros = new HashMap<>();

    /** Number of checks, summed over jobs, that found a job waiting although it could run. */
    int waitsObserved;

    /** The longest uninterrupted time that a job waited although it could run. */
    long longestWaitMicros;

    /**
     * @param faultFreeFromMicros time from which no fault is active; earlier waits do not count
     */
    WaitingJobs(ClusterSimulation cluster, long faultFreeFromMicros) {
        this.cluster = cluster;
        this.faultFreeFromMicros = faultFreeFromMicros;
        check();
    }

    private void check() {
        for (String jobId : cluster.observed.acceptedJobs()) {
            if (cluster.observed.hasFinalStatus(jobId)
                    || !isRunnable(cluster.observed.job(jobId))) {
                waitingSinceMicros.remove(jobId);
                continue;
            }
            long now = cluster.loop.now();
            long waited =
                    now
                            - Math.max(
                                    faultFreeFromMicros,
                                    waitingSinceMicros.computeIfAbsent(jobId, key -> now));
            waitsObserved++;
            longestWaitMicros = Math.max(longestWaitMicros, waited);
            if (waited > MAX_WAIT_MICROS) {
                throw new InvariantViolation(
                        ProtocolRule.LEFT_WAITING,
                        jobId
                                + " of "
                                + cluster.observed.job(jobId).team()
                                + " has waited for "
                                + waited / 1_000_000
                                + " s while machines have capacity, allowed are "
                                + MAX_WAIT_MICROS / 1_000_000
                                + " s");
            }
        }
        cluster.loop.after(CHECK_INTERVAL_MICROS, this::check);
    }

    private boolean isRunnable(JobDescription job) {
        int waiting = 0;
        Map<String, Integer> placed = new HashMap<>();
        for (int i = 0; i < job.taskCount(); i++) {
            TaskId task = new TaskId(job.jobId(), i);
            SimulatedAgent machine = cluster.observed.machineOf(task);
            waiting += machine == null && !cluster.observed.isDone(task) ? 1 : 0;
            if (machine != null) {
                placed.merge(machine.zone, 1, Integer::sum);
            }
        }
        int tasksPlacedTogether = job.isGang() ? waiting : 1;
        double needed = tasksPlacedTogether * job.cpus();
        if (waiting == 0
                || cluster.observed.cpusUsedBy(job.team()) + needed
                        > cluster.settings.team(job.team()).cpusMax() + 1e-6) {
            return false;
        }
        Map<String, Integer> freeSlots = new HashMap<>();
        for (SimulatedAgent machine : cluster.agents()) {
            String zone = machine.zone;
            boolean fits =
                    !machine.failed
                            && (job.zone() == null || job.zone().equals(zone))
                            && (job.machineTypes() == null
                                    || job.machineTypes().contains(machine.machineType))
                            && (job.spotAllowed() || !machine.spot)
                            && (!job.sameZone() || placed.isEmpty() || placed.containsKey(zone))
                            && (!job.spreadAcrossZones()
                                    || placed.getOrDefault(zone, 0) < (job.taskCount() + 1) / 2);
            if (fits) {
                freeSlots.merge(
                        job.sameZone() ? zone : "",
                        (int) (machine.freeCpus() / job.cpus() + 1e-9),
                        Integer::sum);
            }
        }
        return freeSlots.values().stream().anyMatch(count -> count >= tasksPlacedTogether);
    }
}
