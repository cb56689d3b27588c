package org.woadloom.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;

/**
 * A machine with its agent, after the protocol: heartbeats to one node at a time, a lease whose end
 * ends all tasks and the incarnation, fencing tokens, attempts, and direct commands that may wait
 * while the machine hangs.
 */
final class SoakAgent {
    static final double CPUS = 8;
    private static final long ANSWER_TIMEOUT_MICROS = 4_000_000;
    private static final long RETRY_MICROS = 1_000_000;
    private static final long MIN_REPORT_INTERVAL_MICROS = 500_000;
    private static final long LEASE_CHECK_MICROS = 100_000;
    private static final int MIN_FETCH_MICROS = 100_000;
    private static final int FETCH_SPREAD_MICROS = 900_000;
    private static final int CONFLICT = 409;
    private static final int REDIRECT = 421;

    /** What an agent needs of its surroundings. */
    interface Surroundings {
        SoakJob job(String jobId);

        List<String> nodeLabels();

        /** Where agents reach a node. */
        String address(int node);

        void onTaskStarted(TaskStart start);

        void onTaskGone(String machine, String taskId);

        void onToken(long fencingToken, int node);
    }

    private static final class Task {
        final String taskId;
        final long attempt;
        final double cpus;
        String status = "fetching";
        String cause;
        boolean onMachine;

        Task(String taskId, long attempt, double cpus) {
            this.taskId = taskId;
            this.attempt = attempt;
            this.cpus = cpus;
        }
    }

    private final EventLoop loop;
    private final HttpTransport transport;
    private final Surroundings surroundings;
    private final Random random;
    private final TaskStart.MachineFacts machine;
    private final String address;
    private final long reportMicros;
    private final long leaseMicros;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final List<Runnable> heldWhileHanging = new ArrayList<>();
    private int node;
    private long incarnation = 1;
    private long sequence;
    private long fencingToken;
    private long renewedMicros;
    private long lastSentMicros;
    private boolean reporting;

    /** Something changed while a report was on its way. */
    private boolean reportsAgain;

    private boolean changeScheduled;
    private boolean hangs;
    private boolean mute;
    private boolean gone;

    SoakAgent(
            EventLoop loop,
            HttpTransport transport,
            Surroundings surroundings,
            Random random,
            TaskStart.MachineFacts machine,
            String address,
            long reportMicros,
            long leaseMicros) {
        this.loop = loop;
        this.transport = transport;
        this.surroundings = surroundings;
        this.random = random;
        this.machine = machine;
        this.address = address;
        this.reportMicros = reportMicros;
        this.leaseMicros = leaseMicros;
        node = random.nextInt(surroundings.nodeLabels().size());
        renewedMicros = loop.nowMicros();
    }

    TaskStart.MachineFacts machine() {
        return machine;
    }

    String address() {
        return address;
    }

    void start() {
        scheduleReport();
        report();
        watchLease();
    }

    void hang(long micros) {
        hangs = true;
        loop.schedule(micros, this::goOn);
    }

    private void goOn() {
        hangs = false;
        expireLease();
        List<Runnable> held = List.copyOf(heldWhileHanging);
        heldWhileHanging.clear();
        held.forEach(Runnable::run);
        reportChange();
    }

    void mute(long micros) {
        mute = true;
        loop.schedule(micros, () -> mute = false);
    }

    void die() {
        gone = true;
        endAllTasks();
    }

    private void endAllTasks() {
        List<Task> ended = List.copyOf(tasks.values());
        tasks.clear();
        ended.forEach(this::leaveMachine);
    }

    private void leaveMachine(Task task) {
        if (task.onMachine) {
            task.onMachine = false;
            surroundings.onTaskGone(machine.name(), task.taskId);
        }
    }

    private void watchLease() {
        if (!gone) {
            expireLease();
            loop.schedule(LEASE_CHECK_MICROS, this::watchLease);
        }
    }

    private void expireLease() {
        if (loop.nowMicros() - renewedMicros > leaseMicros) {
            endAllTasks();
            incarnation++;
            renewedMicros = loop.nowMicros();
            reportChange();
        }
    }

    private void scheduleReport() {
        long delay = (long) (reportMicros * (0.75 + random.nextDouble() / 2));
        loop.schedule(
                delay,
                () -> {
                    if (!gone) {
                        scheduleReport();
                        report();
                    }
                });
    }

    private void reportChange() {
        if (!changeScheduled) {
            changeScheduled = true;
            long earliest = lastSentMicros + MIN_REPORT_INTERVAL_MICROS - loop.nowMicros();
            loop.schedule(
                    Math.max(1_000, earliest),
                    () -> {
                        changeScheduled = false;
                        report();
                    });
        }
    }

    private void report() {
        if (gone || hangs) {
            return;
        }
        if (reporting) {
            reportsAgain = true;
            return;
        }
        reporting = true;
        reportsAgain = false;
        long sentMicros = loop.nowMicros();
        long sentIncarnation = incarnation;
        lastSentMicros = sentMicros;
        if (mute) {
            loop.schedule(RETRY_MICROS, () -> onAnswer(sentIncarnation, sentMicros, 0, null));
            return;
        }
        transport.request(
                surroundings.address(node),
                "POST",
                "/v1/report",
                Cbor.encode(status()),
                ANSWER_TIMEOUT_MICROS,
                (status, body) -> onAnswer(sentIncarnation, sentMicros, status, body));
    }

    private void onAnswer(long sentIncarnation, long sentMicros, int status, byte[] body) {
        reporting = false;
        if (gone || hangs) {
            return;
        }
        if (reportsAgain) {
            reportChange();
        }
        Map<String, Object> answer = decode(body);
        if (status == UserAnswer.OK) {
            accept(sentIncarnation, sentMicros, answer);
        } else if (status == REDIRECT && answer.get("overseer") instanceof String leader) {
            int named = surroundings.nodeLabels().indexOf(leader);
            boolean other = named >= 0 && named != node;
            node = other ? named : next();
            loop.schedule(other ? MIN_REPORT_INTERVAL_MICROS / 2 : RETRY_MICROS, this::report);
        } else {
            node = next();
            loop.schedule(RETRY_MICROS, this::report);
        }
    }

    private int next() {
        return (node + 1) % surroundings.nodeLabels().size();
    }

    private void accept(long sentIncarnation, long sentMicros, Map<String, Object> answer) {
        long token = answer.get("epoch") instanceof Long number ? number : -1;
        if (sentIncarnation != incarnation || token < fencingToken) {
            return;
        }
        raiseToken(token);
        renewedMicros = Math.max(renewedMicros, sentMicros);
        execute((List<?>) answer.get("orders"));
    }

    private void raiseToken(long token) {
        if (token > fencingToken) {
            fencingToken = token;
            surroundings.onToken(token, node);
        }
    }

    /** Answers a direct command, later if the machine hangs. */
    void direct(Map<String, Object> command, DirectAnswer answer) {
        if (hangs) {
            heldWhileHanging.add(() -> direct(command, answer));
            return;
        }
        if (!(command.get("epoch") instanceof Long token)
                || !(command.get("tenure") instanceof Long expected)) {
            answer.answer(UserAnswer.BAD_REQUEST, Map.of());
        } else if (gone || token < fencingToken || expected != incarnation) {
            answer.answer(CONFLICT, status());
        } else {
            raiseToken(token);
            execute((List<?>) command.get("orders"));
            answer.answer(UserAnswer.OK, status());
        }
    }

    /** Receives the answer to a direct command. */
    interface DirectAnswer {
        void answer(int status, Map<String, Object> body);
    }

    Map<String, Object> status() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("host", machine.name());
        map.put("addr", address);
        map.put("hosttype", "m8");
        map.put("yard", machine.zone());
        map.put("reclaimable", machine.spot());
        map.put("tenure", incarnation);
        map.put("tick", ++sequence);
        map.put("epoch", fencingToken);
        map.put("warningS", null);
        List<Object> listed = new ArrayList<>();
        tasks.values().forEach(task -> listed.add(statusOf(task)));
        map.put("shards", listed);
        return map;
    }

    private static Map<String, Object> statusOf(Task task) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("shard", task.taskId);
        map.put("try", task.attempt);
        map.put("status", task.status);
        if (task.cause != null) {
            map.put("cause", task.cause);
        }
        return map;
    }

    private void execute(List<?> commands) {
        for (Object item : commands) {
            Map<?, ?> command = (Map<?, ?>) item;
            String taskId = (String) command.get("shard");
            long attempt = (Long) command.get("try");
            switch ((String) command.get("verb")) {
                case "launch" -> launch(taskId, attempt);
                case "halt" -> halt(taskId, attempt);
                default -> clear(taskId, attempt);
            }
        }
        if (!commands.isEmpty()) {
            reportChange();
        }
    }

    private void launch(String taskId, long attempt) {
        String key = taskId + " " + attempt;
        if (tasks.containsKey(key)) {
            return;
        }
        int slash = taskId.indexOf('/');
        SoakJob job = surroundings.job(taskId.substring(0, slash));
        Task task = new Task(taskId, attempt, job == null ? 0 : job.cpus);
        boolean busy = liveTasks().anyMatch(other -> other.taskId.equals(taskId));
        double used = liveTasks().mapToDouble(other -> other.cpus).sum();
        tasks.put(key, task);
        if (job == null) {
            exit(task, "unknown");
        } else if (busy) {
            exit(task, "busy");
        } else if (used + job.cpus > CPUS) {
            exit(task, "no_room");
        } else {
            int fetchMicros = MIN_FETCH_MICROS + random.nextInt(FETCH_SPREAD_MICROS);
            loop.schedule(
                    fetchMicros,
                    () -> run(key, task, job, Integer.parseInt(taskId.substring(slash + 1))));
        }
    }

    private Stream<Task> liveTasks() {
        return tasks.values().stream().filter(task -> task.cause == null);
    }

    @SuppressWarnings("ReferenceEquality") // Another attempt may have taken its place.
    private void run(String key, Task task, SoakJob job, int number) {
        if (tasks.get(key) != task || task.cause != null) {
            return;
        }
        task.status = "running";
        task.onMachine = true;
        surroundings.onTaskStarted(new TaskStart(task.taskId, job, machine, loop.nowMicros()));
        reportChange();
        if (!job.service) {
            long left = job.completedTasks.get(number) ? 1 : job.runMicros;
            loop.schedule(left, () -> complete(key, task, job, number));
        }
    }

    @SuppressWarnings("ReferenceEquality") // Another attempt may have taken its place.
    private void complete(String key, Task task, SoakJob job, int number) {
        if (hangs) {
            heldWhileHanging.add(() -> complete(key, task, job, number));
        } else if (tasks.get(key) == task && task.cause == null) {
            job.completedTasks.set(number);
            exit(task, "done");
            reportChange();
        }
    }

    private void halt(String taskId, long attempt) {
        Task task = tasks.get(taskId + " " + attempt);
        if (task != null && task.cause == null) {
            exit(task, "halted");
        }
    }

    private void clear(String taskId, long attempt) {
        Task task = tasks.get(taskId + " " + attempt);
        if (task != null && task.cause != null) {
            tasks.remove(taskId + " " + attempt);
        }
    }

    private void exit(Task task, String cause) {
        task.status = "exited";
        task.cause = cause;
        leaveMachine(task);
    }

    private static Map<String, Object> decode(byte[] body) {
        try {
            return body == null || body.length == 0 ? Map.of() : Cbor.decodeMap(body);
        } catch (MalformedMessageException e) {
            return Map.of();
        }
    }
}
