package org.woadloom.sim;

import java.util.HashMap;
import java.util.Map;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;

/**
 * No job is left waiting while a machine that fits has room for a task of it and its team is below
 * its limit.
 */
final class WaitingJobs {
    private static final long EVERY_MICROS = 1_000_000;
    private static final long LONGEST_MICROS = 90_000_000;

    private final ClusterSimulation cluster;
    private final long fromMicros;
    private final Map<String, Long> sinceMicros = new HashMap<>();

    /** How often a job was found waiting so. */
    int seen;

    /** The longest that any has waited so, without a break. */
    long longestMicros;

    /**
     * @param fromMicros when the last trouble is over
     */
    WaitingJobs(ClusterSimulation cluster, long fromMicros) {
        this.cluster = cluster;
        this.fromMicros = fromMicros;
        look();
    }

    private void look() {
        for (String jobId : cluster.observed.acceptedJobs()) {
            if (cluster.observed.isOver(jobId) || !couldRun(cluster.observed.job(jobId))) {
                sinceMicros.remove(jobId);
                continue;
            }
            long now = cluster.loop.now();
            long waited = now - Math.max(fromMicros, sinceMicros.computeIfAbsent(jobId, u -> now));
            seen++;
            longestMicros = Math.max(longestMicros, waited);
            if (waited > LONGEST_MICROS) {
                throw new InvariantViolation(
                        ProtocolRule.LEFT_WAITING,
                        jobId
                                + " of "
                                + cluster.observed.job(jobId).team()
                                + " has waited for "
                                + waited / 1_000_000
                                + " s while a machine has room");
            }
        }
        cluster.loop.after(EVERY_MICROS, this::look);
    }

    private boolean couldRun(JobDescription job) {
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
        int together = job.isGang() ? waiting : 1;
        double needed = together * job.cpus();
        if (waiting == 0
                || cluster.observed.cpusUsedBy(job.team()) + needed
                        > cluster.settings.team(job.team()).cpusMax() + 1e-6) {
            return false;
        }
        Map<String, Integer> room = new HashMap<>();
        for (SimulatedAgent machine : cluster.agents()) {
            String zone = machine.zone;
            boolean fits =
                    !machine.dead
                            && (job.zone() == null || job.zone().equals(zone))
                            && (job.machineTypes() == null
                                    || job.machineTypes().contains(machine.machineType))
                            && (job.spotAllowed() || !machine.spot)
                            && (!job.sameZone() || placed.isEmpty() || placed.containsKey(zone))
                            && (!job.spreadAcrossZones()
                                    || placed.getOrDefault(zone, 0) < (job.taskCount() + 1) / 2);
            if (fits) {
                room.merge(
                        job.sameZone() ? zone : "",
                        (int) (machine.free() / job.cpus() + 1e-9),
                        Integer::sum);
            }
        }
        return room.values().stream().anyMatch(count -> count >= together);
    }
}
