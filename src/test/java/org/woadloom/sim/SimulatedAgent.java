package org.woadloom.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.protocol.TaskId;

/** A worker, written from the protocol: leases, tokens, reports and commands. */
final class SimulatedAgent {
    private static final long IMAGE_FETCH_MICROS = 800_000;

    private static final class Task {
        final TaskId id;
        final long attempt;
        String status = "fetching";
        String cause;

        Task(TaskId id, long attempt) {
            this.id = id;
            this.attempt = attempt;
        }
    }

    final String host;
    final String address;
    final String machineType;
    final String zone;
    final boolean spot;
    private final ClusterSimulation cluster;
    private final double cpus;
    private final Map<TaskId, Task> tasks = new LinkedHashMap<>();
    private long incarnation = 1;
    private long sequence;
    private long fencingToken;
    private long leaseStart;
    private int node;
    private long reportSentMicros = -1;
    private long reportId;
    private boolean hasChanges;
    boolean failed;
    long hungUntilMicros;

    /** Its reports arrive until then, and neither answers nor commands reach it. */
    long inboundBlockedUntilMicros;

    /** Commands reach it until then, and nothing that it says arrives. */
    long outboundBlockedUntilMicros;

    /**
     * It can't open connections to any node until then; commands reach it, and their answers
     * arrive.
     */
    long connectsBlockedUntilMicros;

    /** Its running tasks that were killed because its lease ended. */
    int tasksKilledByLease;

    /** Tasks that began here. */
    int tasksStarted;

    /** The highest token that it was sent, whether it arrived or not. */
    long highestTokenSent;

    SimulatedAgent(
            ClusterSimulation cluster,
            String host,
            String machineType,
            String zone,
            boolean spot,
            double cpus) {
        this.cluster = cluster;
        this.host = host;
        this.address = host + ":9000";
        this.machineType = machineType;
        this.zone = zone;
        this.spot = spot;
        this.cpus = cpus;
        this.leaseStart = cluster.loop.now();
        this.node = cluster.random.nextInt(ClusterSimulation.NODES);
        scheduleHeartbeats();
        scheduleLeaseChecks();
    }

    /**
     * The lease ends on time, also on a machine that hangs: it has no tasks any more when it goes
     * on.
     */
    private void scheduleLeaseChecks() {
        cluster.loop.at(
                leaseStart + cluster.settings.agents().leaseMicros() + 1,
                () -> {
                    if (!failed) {
                        checkLease();
                        scheduleLeaseChecks();
                    }
                });
    }

    private void scheduleHeartbeats() {
        long period = cluster.settings.agents().heartbeatMicros();
        cluster.loop.after(
                period / 4 + cluster.random.nextInt((int) (period / 8)),
                () -> {
                    if (failed) {
                        return;
                    }
                    if (!isHung()) {
                        checkLease();
                        if (reportSentMicros < 0
                                && (hasChanges || cluster.loop.now() - lastReport >= period)) {
                            sendHeartbeat();
                        }
                    }
                    scheduleHeartbeats();
                });
    }

    private long lastReport = Long.MIN_VALUE / 2;

    boolean isHung() {
        return cluster.loop.now() < hungUntilMicros;
    }

    boolean isInboundBlocked() {
        return cluster.loop.now() < inboundBlockedUntilMicros;
    }

    boolean isOutboundBlocked() {
        return cluster.loop.now() < outboundBlockedUntilMicros;
    }

    boolean areConnectsBlocked() {
        return cluster.loop.now() < connectsBlockedUntilMicros;
    }

    /** The tasks that run here. */
    Set<TaskId> runningTasks() {
        Set<TaskId> running = new LinkedHashSet<>();
        tasks.values().stream()
                .filter(task -> task.status.equals("running"))
                .forEach(task -> running.add(task.id));
        return running;
    }

    private void checkLease() {
        if (cluster.loop.now() - leaseStart > cluster.settings.agents().leaseMicros()) {
            for (Task task : tasks.values()) {
                cluster.observed.killedByLease += task.status.equals("running") ? 1 : 0;
                tasksKilledByLease += task.status.equals("running") ? 1 : 0;
                cluster.invariants.onTaskEnded(task.id, this, false);
            }
            tasks.clear();
            incarnation++;
            leaseStart = cluster.loop.now();
            hasChanges = true;
        }
    }

    private Map<String, Object> heartbeat() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("host", host);
        map.put("addr", address);
        map.put("hosttype", machineType);
        map.put("yard", zone);
        map.put("reclaimable", spot);
        map.put("tenure", incarnation);
        map.put("tick", ++sequence);
        map.put("epoch", fencingToken);
        map.put("warningS", null);
        List<Object> list = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("shard", task.id.toString());
            item.put("try", task.attempt);
            item.put("status", task.status);
            if (task.cause != null) {
                item.put("cause", task.cause);
            }
            list.add(item);
        }
        map.put("shards", list);
        return map;
    }

    private void sendHeartbeat() {
        hasChanges = false;
        long sent = cluster.loop.now();
        lastReport = sent;
        reportSentMicros = sent;
        long id = ++reportId;
        long ofTenure = incarnation;
        cluster.toNode(
                host,
                node,
                "POST",
                "/v1/report",
                heartbeat(),
                4_000_000,
                (status, answer) -> {
                    if (failed || id != reportId || reportSentMicros < 0) {
                        return;
                    }
                    reportSentMicros = -1;
                    if (isHung()) {
                        return;
                    }
                    if (status == 200) {
                        long token = (Long) answer.get("epoch");
                        checkLease();
                        if (token >= fencingToken && incarnation == ofTenure) {
                            hasChanges |= token > fencingToken;
                            fencingToken = token;
                            leaseStart = Math.max(leaseStart, sent);
                            execute((List<?>) answer.get("orders"));
                        }
                    } else if (status == 421
                            && answer.get("overseer") instanceof String leader
                            && ClusterSimulation.nodeIndex(leader) != node) {
                        node = ClusterSimulation.nodeIndex(leader);
                        hasChanges = true;
                    } else {
                        // It tries the next node a second later, and none before.
                        reportSentMicros = sent;
                        cluster.loop.after(
                                1_000_000,
                                () -> {
                                    reportSentMicros = -1;
                                    node = (node + 1) % ClusterSimulation.NODES;
                                    hasChanges = true;
                                });
                    }
                });
    }

    /** Whether one more task of the job may be put here, and has room. */
    boolean canStartTask(JobDescription job) {
        double used = 0;
        for (Task task : tasks.values()) {
            used += task.status.equals("exited") ? 0 : cluster.observed.job(task.id.jobId()).cpus();
        }
        return !failed
                && !isHung()
                && !isInboundBlocked()
                && !isOutboundBlocked()
                && used + job.cpus() <= cpus + 1e-6
                && fits(job);
    }

    boolean fits(JobDescription job) {
        return (job.machineTypes() == null || job.machineTypes().contains(machineType))
                && (job.zone() == null || job.zone().equals(zone))
                && (!spot || job.spotAllowed());
    }

    /** A direct command as it arrives, perhaps late. */
    Object[] handleDirectCommand(Map<String, Object> body) {
        checkLease();
        long token = (Long) body.get("epoch");
        if (token < fencingToken || (Long) body.get("tenure") != incarnation) {
            // The protocol says the highest token it has seen: every other worker has seen that of
            // a refused command, too.
            fencingToken = host.hashCode() % 2 == 0 ? Math.max(fencingToken, token) : fencingToken;
            return new Object[] {409, heartbeat()};
        }
        fencingToken = token;
        execute((List<?>) body.get("orders"));
        return new Object[] {200, heartbeat()};
    }

    private void execute(List<?> commands) {
        for (Object item : commands) {
            Map<?, ?> command = (Map<?, ?>) item;
            TaskId id;
            try {
                id = TaskId.parse((String) command.get("shard"));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
            long attempt = (Long) command.get("try");
            Task task = tasks.get(id);
            switch ((String) command.get("verb")) {
                case "launch" -> launch(id, attempt, task);
                case "halt" -> {
                    if (task != null && task.attempt == attempt && !task.status.equals("exited")) {
                        exit(task, "halted");
                    }
                }
                case "clear" -> {
                    if (task != null && task.attempt == attempt && task.status.equals("exited")) {
                        tasks.remove(id);
                    }
                }
                default -> throw new IllegalStateException();
            }
            hasChanges = true;
        }
    }

    /** How many processors no task of its holds. */
    double freeCpus() {
        double free = cpus;
        for (Task task : tasks.values()) {
            free -= task.status.equals("exited") ? 0 : cluster.observed.job(task.id.jobId()).cpus();
        }
        return free;
    }

    /**
     * How many processors tasks of the team hold here, those that wait for their image among them.
     */
    double cpusHeldBy(String team) {
        double held = 0;
        for (Task task : tasks.values()) {
            JobDescription job = cluster.observed.job(task.id.jobId());
            held += !task.status.equals("exited") && job.team().equals(team) ? job.cpus() : 0;
        }
        return held;
    }

    private void launch(TaskId id, long attempt, Task present) {
        if (present != null && present.attempt == attempt
                || cluster.isBroken(Scenario.Flaw.ONE_JOB_NEVER_STARTED)
                        && id.jobId().endsWith("7")) {
            return;
        }
        JobDescription job = cluster.observed.job(id.jobId());
        if (job == null) {
            throw new InvariantViolation(ProtocolRule.ACCEPTED_UNFIT, id + " is started");
        }
        Task task = new Task(id, attempt);
        if (present != null && !present.status.equals("exited")) {
            // The refused attempt can't be listed beside the other one in this stand-in; the leader
            // must not get here.
            throw new InvariantViolation(
                    ProtocolRule.RAN_TWICE,
                    id + " is sent to " + host + " where another attempt is");
        }
        tasks.put(id, task);
        double used = 0;
        for (Task other : tasks.values()) {
            used +=
                    other.status.equals("exited") || other == task
                            ? 0
                            : cluster.observed.job(other.id.jobId()).cpus();
        }
        if (used + job.cpus() > cpus + 1e-6) {
            task.status = "exited";
            task.cause = "no_room";
            return;
        }
        cluster.loop.after(IMAGE_FETCH_MICROS, () -> run(task, job));
    }

    private void run(Task task, JobDescription job) {
        if (failed || tasks.get(task.id) != task || !task.status.equals("fetching")) {
            return;
        }
        if (isHung()) {
            cluster.loop.at(hungUntilMicros, () -> run(task, job));
            return;
        }
        checkLease();
        if (tasks.get(task.id) != task) {
            return;
        }
        if (cluster.observed.isDone(task.id)) {
            exit(task, "done");
            return;
        }
        cluster.invariants.onTaskStarted(task.id, this);
        tasksStarted++;
        task.status = "running";
        hasChanges = true;
        if (!job.isService()) {
            cluster.loop.after((long) (job.estimatedRuntimeSeconds() * 1e6), () -> complete(task));
        }
    }

    private void complete(Task task) {
        if (failed || tasks.get(task.id) != task || !task.status.equals("running")) {
            return;
        }
        if (isHung()) {
            cluster.loop.at(hungUntilMicros, () -> complete(task));
            return;
        }
        checkLease();
        if (tasks.get(task.id) == task && task.status.equals("running")) {
            exit(task, "done");
        }
    }

    private void exit(Task task, String cause) {
        task.status = "exited";
        task.cause = cause;
        hasChanges = true;
        cluster.invariants.onTaskEnded(task.id, this, cause.equals("done"));
    }

    /** The machine is gone, and everything on it. */
    void fail() {
        failed = true;
        for (Task task : tasks.values()) {
            cluster.invariants.onTaskEnded(task.id, this, false);
        }
        tasks.clear();
    }
}
