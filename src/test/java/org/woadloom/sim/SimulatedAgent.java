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
    private static final long FETCH_MICROS = 800_000;

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
    final String addr;
    final String machineType;
    final String zone;
    final boolean spot;
    private final ClusterSimulation cluster;
    private final double cpus;
    private final Map<TaskId, Task> tasks = new LinkedHashMap<>();
    private long incarnation = 1;
    private long sequence;
    private long fencingToken;
    private long leaseFrom;
    private int node;
    private long reportSent = -1;
    private long reportId;
    private boolean changed;
    boolean dead;
    long hungUntil;

    /** Its reports arrive until then, and neither answers nor commands reach it. */
    long deafUntil;

    /** Commands reach it until then, and nothing that it says arrives. */
    long muteUntil;

    /**
     * It can't open connections to any node until then; commands reach it, and their answers
     * arrive.
     */
    long closedInUntil;

    /** Its running tasks that were killed because its lease ended. */
    int killedByLease;

    /** Tasks that began here. */
    int started;

    /** The highest token that it was sent, whether it arrived or not. */
    long tokenSent;

    SimulatedAgent(
            ClusterSimulation cluster,
            String host,
            String machineType,
            String zone,
            boolean spot,
            double cpus) {
        this.cluster = cluster;
        this.host = host;
        this.addr = host + ":9000";
        this.machineType = machineType;
        this.zone = zone;
        this.spot = spot;
        this.cpus = cpus;
        this.leaseFrom = cluster.loop.now();
        this.node = cluster.random.nextInt(ClusterSimulation.NODES);
        beat();
        watchLease();
    }

    /**
     * The lease ends on time, also on a machine that hangs: it has no tasks any more when it goes
     * on.
     */
    private void watchLease() {
        cluster.loop.at(
                leaseFrom + cluster.settings.agents().leaseMicros() + 1,
                () -> {
                    if (!dead) {
                        checkLease();
                        watchLease();
                    }
                });
    }

    private void beat() {
        long period = cluster.settings.agents().heartbeatMicros();
        cluster.loop.after(
                period / 4 + cluster.random.nextInt((int) (period / 8)),
                () -> {
                    if (dead) {
                        return;
                    }
                    if (!hung()) {
                        checkLease();
                        if (reportSent < 0
                                && (changed || cluster.loop.now() - lastReport >= period)) {
                            report();
                        }
                    }
                    beat();
                });
    }

    private long lastReport = Long.MIN_VALUE / 2;

    boolean hung() {
        return cluster.loop.now() < hungUntil;
    }

    boolean deaf() {
        return cluster.loop.now() < deafUntil;
    }

    boolean mute() {
        return cluster.loop.now() < muteUntil;
    }

    boolean closedIn() {
        return cluster.loop.now() < closedInUntil;
    }

    /** The tasks that run here. */
    Set<TaskId> running() {
        Set<TaskId> running = new LinkedHashSet<>();
        tasks.values().stream()
                .filter(task -> task.status.equals("running"))
                .forEach(task -> running.add(task.id));
        return running;
    }

    private void checkLease() {
        if (cluster.loop.now() - leaseFrom > cluster.settings.agents().leaseMicros()) {
            for (Task task : tasks.values()) {
                cluster.observed.killedByLease += task.status.equals("running") ? 1 : 0;
                killedByLease += task.status.equals("running") ? 1 : 0;
                cluster.invariants.onTaskEnded(task.id, this, false);
            }
            tasks.clear();
            incarnation++;
            leaseFrom = cluster.loop.now();
            changed = true;
        }
    }

    private Map<String, Object> body() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("host", host);
        map.put("addr", addr);
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

    private void report() {
        changed = false;
        long sent = cluster.loop.now();
        lastReport = sent;
        reportSent = sent;
        long id = ++reportId;
        long ofTenure = incarnation;
        cluster.toNode(
                host,
                node,
                "POST",
                "/v1/report",
                body(),
                4_000_000,
                (status, answer) -> {
                    if (dead || id != reportId || reportSent < 0) {
                        return;
                    }
                    reportSent = -1;
                    if (hung()) {
                        return;
                    }
                    if (status == 200) {
                        long token = (Long) answer.get("epoch");
                        checkLease();
                        if (token >= fencingToken && incarnation == ofTenure) {
                            changed |= token > fencingToken;
                            fencingToken = token;
                            leaseFrom = Math.max(leaseFrom, sent);
                            execute((List<?>) answer.get("orders"));
                        }
                    } else if (status == 421
                            && answer.get("overseer") instanceof String leader
                            && ClusterSimulation.nodeIndex(leader) != node) {
                        node = ClusterSimulation.nodeIndex(leader);
                        changed = true;
                    } else {
                        // It tries the next node a second later, and none before.
                        reportSent = sent;
                        cluster.loop.after(
                                1_000_000,
                                () -> {
                                    reportSent = -1;
                                    node = (node + 1) % ClusterSimulation.NODES;
                                    changed = true;
                                });
                    }
                });
    }

    /** Whether one more task of the job may be put here, and has room. */
    boolean takes(JobDescription job) {
        double used = 0;
        for (Task task : tasks.values()) {
            used += task.status.equals("exited") ? 0 : cluster.observed.job(task.id.jobId()).cpus();
        }
        return !dead
                && !hung()
                && !deaf()
                && !mute()
                && used + job.cpus() <= cpus + 1e-6
                && fits(job);
    }

    boolean fits(JobDescription job) {
        return (job.machineTypes() == null || job.machineTypes().contains(machineType))
                && (job.zone() == null || job.zone().equals(zone))
                && (!spot || job.spotAllowed());
    }

    /** A direct command as it arrives, perhaps late. */
    Object[] direct(Map<String, Object> body) {
        checkLease();
        long token = (Long) body.get("epoch");
        if (token < fencingToken || (Long) body.get("tenure") != incarnation) {
            // The protocol says the highest token it has seen: every other worker has seen that of
            // a refused command, too.
            fencingToken = host.hashCode() % 2 == 0 ? Math.max(fencingToken, token) : fencingToken;
            return new Object[] {409, body()};
        }
        fencingToken = token;
        execute((List<?>) body.get("orders"));
        return new Object[] {200, body()};
    }

    private void execute(List<?> commands) {
        for (Object item : commands) {
            Map<?, ?> order = (Map<?, ?>) item;
            TaskId id;
            try {
                id = TaskId.parse((String) order.get("shard"));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
            long attempt = (Long) order.get("try");
            Task task = tasks.get(id);
            switch ((String) order.get("verb")) {
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
            changed = true;
        }
    }

    /** How many processors no task of its holds. */
    double free() {
        double free = cpus;
        for (Task task : tasks.values()) {
            free -= task.status.equals("exited") ? 0 : cluster.observed.job(task.id.jobId()).cpus();
        }
        return free;
    }

    /**
     * How many processors tasks of the team hold here, those that wait for their image among them.
     */
    double held(String team) {
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
        cluster.loop.after(FETCH_MICROS, () -> run(task, job));
    }

    private void run(Task task, JobDescription job) {
        if (dead || tasks.get(task.id) != task || !task.status.equals("fetching")) {
            return;
        }
        if (hung()) {
            cluster.loop.at(hungUntil, () -> run(task, job));
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
        started++;
        task.status = "running";
        changed = true;
        if (!job.isService()) {
            cluster.loop.after((long) (job.estimatedRuntimeSeconds() * 1e6), () -> complete(task));
        }
    }

    private void complete(Task task) {
        if (dead || tasks.get(task.id) != task || !task.status.equals("running")) {
            return;
        }
        if (hung()) {
            cluster.loop.at(hungUntil, () -> complete(task));
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
        changed = true;
        cluster.invariants.onTaskEnded(task.id, this, cause.equals("done"));
    }

    /** The machine is gone, and everything on it. */
    void die() {
        dead = true;
        for (Task task : tasks.values()) {
            cluster.invariants.onTaskEnded(task.id, this, false);
        }
        tasks.clear();
    }
}
