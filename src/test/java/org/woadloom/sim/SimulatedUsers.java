package org.woadloom.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;

/**
 * The users of a simulated cluster: they submit jobs and pipelines, poll accepted jobs and cancel
 * some of them. Each request goes to a random node. {@link UserFaults} has unusual user behaviour.
 */
final class SimulatedUsers {
    /** How long a user retries a submission that is not accepted. */
    private static final long SUBMIT_TIMEOUT_MICROS = 60_000_000;

    /** How long a user retries the cancellation of a job that the nodes do not know. */
    private static final long UNKNOWN_JOB_MICROS = 70_000_000;

    private final ClusterSimulation cluster;
    private final Random random;
    private final UserFaults faults;
    private int jobs;

    SimulatedUsers(ClusterSimulation cluster, Random random, UserFaults faults) {
        this.cluster = cluster;
        this.random = random;
        this.faults = faults;
    }

    /** Submits jobs until the given time. */
    void submitUntil(long until) {
        submitUntil(until, 1);
    }

    /** Submits jobs at {@code times} the usual rate until the given time. */
    void submitUntil(long until, int times) {
        cluster.loop.after(
                (300_000 + random.nextInt(2_500_000)) / times,
                () -> {
                    if (cluster.loop.now() < until) {
                        newJob();
                        submitUntil(until, times);
                    }
                });
    }

    String newJobId() {
        return String.format("j-%06d", jobs++);
    }

    private void newJob() {
        newJob(newJobId(), random.nextInt(10), List.of(), accepted -> {});
    }

    /** Submits a job; {@code onAccepted} is called with its ID when it is accepted. */
    private void newJob(
            String jobId, int kind, List<String> dependencies, Consumer<String> onAccepted) {
        Map<String, Object> map = new LinkedHashMap<>();
        boolean service = kind < 3;
        boolean gang = kind == 3;
        map.put("uid", jobId);
        map.put("jobclass", service ? "web" : "work");
        map.put("crew", team());
        map.put("shape", service ? "service" : gang ? "group" : "batch");
        map.put("rank", service ? "critical" : random.nextBoolean() ? "high" : "standard");
        map.put(
                "shards",
                (long)
                        (service
                                ? 1 + random.nextInt(3)
                                : kind == 4 && cluster.scenario.isUpgrade()
                                        ? 20 + random.nextInt(100)
                                        : 1 + random.nextInt(gang ? 4 : 9)));
        map.put(
                "vcpus",
                service || kind == 4 && cluster.scenario.isUpgrade()
                        ? 1.0
                        : (double) (1 << random.nextInt(dependencies.isEmpty() ? 4 : 2)));
        map.put("cards", 0.0);
        map.put("ramGb", 2.0);
        map.put("bundle", "img-" + random.nextInt(4));
        map.put("pullGb", 1.0);
        map.put("hosttypes", random.nextInt(5) == 0 ? List.of("large") : null);
        map.put("yard", random.nextInt(8) == 0 ? "b" : null);
        map.put("samePlace", random.nextInt(6) == 0);
        map.put("apart", service && map.get("yard") == null && !(Boolean) map.get("samePlace"));
        map.put("reclaimable", !service);
        map.put("runtimeS", service ? 0.0 : 2.0 + random.nextInt(15));
        map.put("snapshotEveryS", 0.0);
        map.put("snapshotCostS", 0.0);
        if (!dependencies.isEmpty()) {
            map.put("awaits", dependencies);
        }
        try {
            cluster.observed.recordSubmission(JobDescription.parse(map));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
        submit(jobId, map, cluster.loop.now() + SUBMIT_TIMEOUT_MICROS, onAccepted);
        if (!cluster.noRandomCancellations && (service || random.nextInt(12) == 0)) {
            cluster.loop.after(5_000_000 + random.nextInt(60_000_000), () -> cancel(jobId));
        }
    }

    /** Returns a random team; with additional teams, half of the jobs go to the first of them. */
    private String team() {
        if (cluster.scenario.extraTeams() == 0) {
            return random.nextBoolean() ? "red" : "blue";
        }
        return random.nextBoolean()
                ? "crowd-0"
                : cluster.settings
                        .teams()
                        .get(random.nextInt(cluster.settings.teams().size()))
                        .name();
    }

    void submit(String jobId, Map<String, Object> job, long until, Consumer<String> onAccepted) {
        long sent = cluster.loop.now();
        cluster.sendToNode(
                "users",
                random.nextInt(ClusterSimulation.NODES),
                "POST",
                "/v1/jobs",
                job,
                5_000_000,
                (status, body) -> {
                    onAnswer(UserRequest.SUBMIT, jobId, sent, status, body);
                    if (status == 200 || status == 201) {
                        poll(jobId);
                        onAccepted.accept(jobId);
                    } else if (cluster.loop.now() < until) {
                        cluster.loop.after(1_000_000, () -> submit(jobId, job, until, onAccepted));
                    }
                });
    }

    /** Submits pipelines until the given time. */
    void submitPipelinesUntil(long until) {
        cluster.loop.after(
                3_000_000 + random.nextInt(14_000_000),
                () -> {
                    if (cluster.loop.now() < until) {
                        submitPipeline();
                        submitPipelinesUntil(until);
                    }
                });
    }

    /**
     * Submits a pipeline of 1 to 5 stages with up to two jobs each. A stage is submitted once the
     * previous one is accepted. Some pipelines depend on an earlier job, some submit their last
     * stage up to 60 s later, and any job may be cancelled at any time.
     */
    private void submitPipeline() {
        List<String> before = new ArrayList<>();
        List<String> earlier = new ArrayList<>(cluster.observed.acceptedJobs());
        earlier.removeIf(jobId -> cluster.observed.job(jobId).isService());
        if (random.nextInt(3) == 0 && !earlier.isEmpty()) {
            before.add(earlier.get(random.nextInt(earlier.size())));
        }
        submitStage(before, 1 + random.nextInt(5));
    }

    private void submitStage(List<String> dependencies, int remainingStages) {
        if (remainingStages == 0) {
            return;
        }
        int width = 1 + random.nextInt(2);
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < width; i++) {
            String jobId = newJobId();
            List<String> awaits = new ArrayList<>(dependencies);
            if (awaits.size() > 1 && random.nextBoolean()) {
                awaits.remove(random.nextInt(awaits.size()));
            }
            newJob(
                    jobId,
                    4 + random.nextInt(6),
                    awaits,
                    known -> {
                        accepted.add(known);
                        if (accepted.size() == width) {
                            List<String> next = new ArrayList<>(accepted);
                            if (random.nextInt(3) == 0) {
                                next.addAll(dependencies);
                            }
                            long late =
                                    remainingStages == 2 && random.nextInt(4) == 0
                                            ? random.nextInt(60_000_000)
                                            : 1;
                            cluster.loop.after(late, () -> submitStage(next, remainingStages - 1));
                        }
                    });
            if (random.nextInt(10) == 0) {
                cluster.loop.after(random.nextInt(40_000_000), () -> cancel(jobId));
            }
        }
    }

    private void poll(String jobId) {
        long sent = cluster.loop.now();
        cluster.sendToNode(
                "users",
                random.nextInt(ClusterSimulation.NODES),
                "GET",
                "/v1/jobs/" + jobId,
                null,
                2_000_000,
                (status, body) -> {
                    onAnswer(UserRequest.POLL, jobId, sent, status, body);
                    cluster.loop.after(
                            cluster.observed.hasFinalStatus(jobId) && status == 200
                                    ? 40_000_000
                                    : 3_000_000,
                            () -> poll(jobId));
                });
    }

    /** Called when a user receives an answer. */
    void onAnswer(
            UserRequest request, String jobId, long sent, int status, Map<String, Object> body) {
        cluster.invariants.onAnswer(request, jobId, sent, status, body);
        faults.onAnswer(jobId, status);
    }

    void cancel(String jobId) {
        cancel(jobId, cluster.loop.now() + UNKNOWN_JOB_MICROS);
    }

    /**
     * Retries after a 404 until {@code unknownUntil}: a submission in flight may still be accepted,
     * and the job would never be cancelled.
     */
    private void cancel(String jobId, long unknownUntil) {
        cluster.observed.recordCancelRequest(jobId);
        long sent = cluster.loop.now();
        cluster.sendToNode(
                "users",
                random.nextInt(ClusterSimulation.NODES),
                "POST",
                "/v1/jobs/" + jobId + "/cancel",
                Map.of(),
                5_000_000,
                (status, body) -> {
                    onAnswer(UserRequest.CANCEL, jobId, sent, status, body);
                    if (status != 200 && (status != 404 || cluster.loop.now() < unknownUntil)) {
                        cluster.loop.after(1_000_000, () -> cancel(jobId, unknownUntil));
                    }
                });
    }

    /** Polls a job that no user submitted. */
    void pollUnknownJob() {
        cluster.sendToNode(
                "users",
                random.nextInt(ClusterSimulation.NODES),
                "GET",
                "/v1/jobs/j-999999",
                null,
                2_000_000,
                (status, body) ->
                        cluster.invariants.onAnswer(UserRequest.POLL, "j-999999", 0, status, body));
    }

    /** Cancels all accepted jobs. */
    void cancelAll() {
        cluster.observed.acceptedJobs().forEach(this::cancel);
    }
}
