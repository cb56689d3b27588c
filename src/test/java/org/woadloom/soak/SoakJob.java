package org.woadloom.soak;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/** A job that a user submits, with its state as observed outside of the controllers. */
final class SoakJob {
    /** The time of an event that has not happened; later than any time of a run. */
    static final long NEVER = Long.MAX_VALUE;

    final String jobId;
    final String team;
    final boolean service;
    final int tasks;
    final double cpus;
    final String zone;
    final boolean spotAllowed;
    final long taskDurationMicros;
    final BitSet completedTasks = new BitSet();
    long acceptedMicros = NEVER;
    long cancelRequestedMicros = NEVER;

    /** When a response first gave the status done or cancelled. */
    long finalStatusMicros = NEVER;

    /** The first final status that a response gave; null before. */
    String finalStatus;

    /** When the last successful response was received. */
    long lastResponseMicros = -1;

    SoakJob(
            String jobId,
            String team,
            boolean service,
            int tasks,
            double cpus,
            String zone,
            boolean spotAllowed,
            long taskDurationMicros) {
        this.jobId = jobId;
        this.team = team;
        this.service = service;
        this.tasks = tasks;
        this.cpus = cpus;
        this.zone = zone;
        this.spotAllowed = spotAllowed;
        this.taskDurationMicros = taskDurationMicros;
    }

    /** Creates a job that was accepted and done before the run. */
    static SoakJob ended(String jobId) {
        SoakJob job = new SoakJob(jobId, "red", false, 1, 1, null, false, 1);
        job.acceptedMicros = 0;
        job.completedTasks.set(0);
        return job;
    }

    boolean isAccepted() {
        return acceptedMicros != NEVER;
    }

    boolean hasFinalStatus() {
        return finalStatus != null;
    }

    boolean isComplete() {
        return !service && completedTasks.cardinality() == tasks;
    }

    Map<String, Object> description() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", jobId);
        map.put("jobclass", service ? "replicas" : "array");
        map.put("crew", team);
        map.put("shape", service ? "service" : "batch");
        map.put("rank", service ? "critical" : "high");
        map.put("shards", (long) tasks);
        map.put("vcpus", cpus);
        map.put("cards", 0.0);
        map.put("ramGb", 1.0);
        map.put("bundle", "img-" + jobId.charAt(jobId.length() - 1));
        map.put("pullGb", 0.2);
        map.put("hosttypes", null);
        map.put("yard", zone);
        map.put("samePlace", false);
        map.put("apart", false);
        map.put("reclaimable", spotAllowed);
        map.put("runtimeS", service ? 0.0 : taskDurationMicros / 1e6);
        map.put("snapshotEveryS", 0.0);
        map.put("snapshotCostS", 0.0);
        map.put("dueS", null);
        return map;
    }
}
