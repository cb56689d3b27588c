package org.woadloom.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Unusual behaviour of users: bursts of polls after each change, invalid and repeated requests, and
 * cancellations at unfavourable moments.
 */
final class UserFaults {
    private static final int POLLS_PER_NODE = 3;
    private static final int MAX_HUNG_MACHINES = 8;

    /** Required fields of a job. The others may be null or missing. */
    static final List<String> REQUIRED_FIELDS =
            List.of(
                    "jobclass",
                    "crew",
                    "shape",
                    "rank",
                    "shards",
                    "vcpus",
                    "cards",
                    "ramGb",
                    "bundle",
                    "pullGb",
                    "samePlace",
                    "apart",
                    "reclaimable",
                    "runtimeS",
                    "snapshotEveryS",
                    "snapshotCostS");

    private final ClusterSimulation cluster;
    private final Random random;
    private final Set<String> polledStates = new HashSet<>();
    private long pollChangesUntilMicros;
    private int unusualRequests;
    private int cancelAtEndPercent;
    private long cancelAtEndUntilMicros;

    UserFaults(ClusterSimulation cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    void pollChangesUntil(long until) {
        pollChangesUntilMicros = until;
    }

    /**
     * Called when a user receives an answer. If it is the first that shows the job as accepted, or
     * as done or cancelled, users poll the job at every node and submit it again; some cancel it.
     */
    void onAnswer(String jobId, int status) {
        if (cluster.loop.now() >= pollChangesUntilMicros
                || status != 200 && status != 201
                || !polledStates.add(jobId + cluster.observed.hasFinalStatus(jobId))) {
            return;
        }
        cluster.pollBursts++;
        for (int node = 0; node < ClusterSimulation.NODES; node++) {
            int index = node;
            for (int look = 0; look < POLLS_PER_NODE; look++) {
                cluster.loop.after(1 + random.nextInt(30_000), () -> poll(index, jobId));
            }
        }
        cluster.loop.after(
                1 + random.nextInt(10_000),
                () -> submit(jobId, cluster.observed.job(jobId).toMap()));
        if (random.nextInt(5) == 0) {
            cluster.loop.after(1 + random.nextInt(20_000), () -> cluster.users.cancel(jobId));
        }
    }

    private void poll(int node, String jobId) {
        long sent = cluster.loop.now();
        cluster.sendToNode(
                "users",
                node,
                "GET",
                "/v1/jobs/" + jobId,
                null,
                2_000_000,
                (status, body) ->
                        cluster.users.onAnswer(UserRequest.POLL, jobId, sent, status, body));
    }

    private void submit(String jobId, Map<String, Object> job) {
        long sent = cluster.loop.now();
        cluster.sendToNode(
                "users",
                random.nextInt(ClusterSimulation.NODES),
                "POST",
                "/v1/jobs",
                job,
                5_000_000,
                (status, body) ->
                        cluster.users.onAnswer(UserRequest.SUBMIT, jobId, sent, status, body));
    }

    void sendUnusualRequestsUntil(long until) {
        cluster.loop.after(
                100_000 + random.nextInt(500_000),
                () -> {
                    if (cluster.loop.now() < until) {
                        sendUnusualRequest(unusualRequests++ % 5);
                        sendUnusualRequestsUntil(until);
                    }
                });
    }

    /**
     * Sends a request of one of five kinds: 0 submits an open job again, 1 does so without a
     * required field, 2 cancels a job that is done or cancelled, 3 submits a new job that can never
     * run, 4 submits a new job without a required field.
     */
    private void sendUnusualRequest(int kind) {
        List<String> such = new ArrayList<>(cluster.observed.acceptedJobs());
        such.removeIf(jobId -> cluster.observed.hasFinalStatus(jobId) != (kind == 2));
        if (kind < 3 && such.isEmpty()) {
            return;
        }
        cluster.unusualRequestsSent++;
        String jobId = kind < 3 ? such.get(random.nextInt(such.size())) : cluster.users.newJobId();
        Map<String, Object> job =
                kind < 3 ? cluster.observed.job(jobId).toMap() : oneTaskJob(jobId);
        if (kind == 2) {
            long sent = cluster.loop.now();
            cluster.sendToNode(
                    "users",
                    random.nextInt(ClusterSimulation.NODES),
                    "POST",
                    "/v1/jobs/" + jobId + "/cancel",
                    Map.of(),
                    5_000_000,
                    (status, body) ->
                            cluster.users.onAnswer(UserRequest.CANCEL, jobId, sent, status, body));
            return;
        }
        if (kind == 1 || kind == 4) {
            job.remove(REQUIRED_FIELDS.get(random.nextInt(REQUIRED_FIELDS.size())));
        }
        if (kind == 3) {
            makeInvalid(job, random.nextInt(6));
        }
        if (kind >= 3) {
            cluster.observed.recordInvalidJob(jobId);
            cluster.loop.after(
                    2_000_000, () -> poll(random.nextInt(ClusterSimulation.NODES), jobId));
        }
        submit(jobId, job);
    }

    private static void makeInvalid(Map<String, Object> job, int defect) {
        switch (defect) {
            case 0 -> job.put("ramGb", 100_000.0);
            case 1 -> job.put("cards", 1.0);
            case 2 -> job.put("hosttypes", List.of("no-such-type"));
            case 3 -> job.put("crew", "nobody");
            case 4 -> job.put("yard", "no-such-zone");
            default -> {
                job.put("shape", "service");
                job.put("shards", 1_000L);
            }
        }
    }

    int cancelRunningJobs(int count, long hangMicros) {
        List<String> running = new ArrayList<>(cluster.observed.runningJobs());
        Collections.shuffle(running, random);
        List<String> chosen = running.subList(0, Math.min(count, running.size()));
        if (hangMicros > 0) {
            cluster.observed.machinesOf(chosen).stream()
                    .limit(MAX_HUNG_MACHINES)
                    .forEach(agent -> agent.hungUntilMicros = cluster.loop.now() + hangMicros);
        }
        chosen.forEach(
                jobId ->
                        cluster.loop.after(
                                random.nextInt(200_000), () -> cluster.users.cancel(jobId)));
        return chosen.size();
    }

    void cancelAtEndUntil(int percent, long until) {
        cancelAtEndPercent = percent;
        cancelAtEndUntilMicros = until;
    }

    /**
     * Cancels some jobs just as their last task ends or up to 0.8 s later, while that is stored.
     */
    void onLastTaskDone(String jobId) {
        if (cluster.loop.now() < cancelAtEndUntilMicros
                && random.nextInt(100) < cancelAtEndPercent) {
            cluster.jobsCancelledAtEnd++;
            cluster.loop.after(
                    random.nextBoolean() ? 1 : random.nextInt(800_000),
                    () -> cluster.users.cancel(jobId));
        }
    }

    void submitOneTaskJobsUntil(int perSecond, long until, int cancelPercent) {
        cluster.loop.after(
                1_000_000 / perSecond,
                () -> {
                    if (cluster.loop.now() < until) {
                        String jobId = cluster.users.newJobId();
                        Map<String, Object> job = oneTaskJob(jobId);
                        try {
                            cluster.observed.recordSubmission(JobDescription.parse(job));
                        } catch (MalformedMessageException e) {
                            throw new IllegalStateException(e);
                        }
                        cluster.oneTaskJobsSubmitted++;
                        cluster.users.submit(
                                jobId, job, cluster.loop.now() + 60_000_000, accepted -> {});
                        if (random.nextInt(100) < cancelPercent) {
                            cluster.oneTaskJobsCancelled++;
                            cluster.loop.after(
                                    random.nextInt(6_000_000), () -> cluster.users.cancel(jobId));
                        }
                        submitOneTaskJobsUntil(perSecond, until, cancelPercent);
                    }
                });
    }

    /** A valid job of one small task, with all fields. */
    private Map<String, Object> oneTaskJob(String jobId) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("uid", jobId);
        job.put("jobclass", "work");
        job.put("crew", random.nextBoolean() ? "red" : "blue");
        job.put("shape", "batch");
        job.put("rank", random.nextBoolean() ? "high" : "standard");
        job.put("shards", 1L);
        job.put("vcpus", 1.0);
        job.put("cards", 0.0);
        job.put("ramGb", 2.0);
        job.put("bundle", "img-" + random.nextInt(4));
        job.put("pullGb", 1.0);
        job.put("hosttypes", null);
        job.put("yard", null);
        job.put("samePlace", false);
        job.put("apart", false);
        job.put("reclaimable", true);
        job.put("runtimeS", 1.0 + random.nextInt(4));
        job.put("snapshotEveryS", 0.0);
        job.put("snapshotCostS", 0.0);
        job.put("dueS", null);
        return job;
    }
}
