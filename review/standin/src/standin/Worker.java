package standin;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The worker on one machine, after the protocol page. */
public final class Worker {
    private static final class Task {
        final String id;
        final long attempt;
        final Platform.Job job;
        String status = "fetching";
        String cause;
        boolean onMachine;
        long readyNanos;
        long endsNanos = Long.MAX_VALUE;
        long savedNanos = Long.MAX_VALUE;

        Task(String id, long attempt, Platform.Job job) {
            this.id = id;
            this.attempt = attempt;
            this.job = job;
        }
    }

    private final Platform platform;
    public final String host;
    private final Platform.Type type;
    private final String yard;
    private final boolean reclaimable;
    private final String address;
    private final HttpServer server;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private boolean destroyed;
    private boolean sick;
    private boolean changed = true;
    private long tenure = 1;
    private long tick;
    private long epoch;
    private long leaseFromNanos = System.nanoTime();
    private int node;

    Worker(Platform platform, String host, Platform.Type type, String yard, boolean reclaimable)
            throws IOException {
        this.platform = platform;
        this.host = host;
        this.type = type;
        this.yard = yard;
        this.reclaimable = reclaimable;
        random = new Random(host.hashCode());
        node = random.nextInt(platform.controllers.size());
        int port = Http.freePort();
        address = "127.0.0.1:" + port;
        server = Http.serve(port, this::handle);
    }

    String address() {
        return address;
    }

    void start() {
        thread(this::report);
        thread(this::run);
    }

    private void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** A sick machine fails every task that it starts; those that run already go on. */
    public synchronized void setSick(boolean on) {
        sick = on;
        platform.record.line("machine %s is %s", host, on ? "sick" : "well again");
    }

    /** The machine and everything on it is gone. */
    void destroy() {
        synchronized (this) {
            destroyed = true;
            killAll("is gone with its machine");
        }
        server.stop(0);
    }

    private String instance(Task task) {
        return host + " attempt " + task.attempt;
    }

    private void killAll(String how) {
        for (Task task : tasks.values()) {
            leave(task, how);
        }
        tasks.clear();
    }

    private void leave(Task task, String how) {
        if (task.onMachine) {
            task.onMachine = false;
            platform.onEnded(task.id, instance(task), how);
        }
    }

    private void exit(Task task, String cause) {
        task.status = "exited";
        task.cause = cause;
        leave(task, "exits: " + cause);
        if (cause.equals("done")) {
            platform.completed.add(task.id);
        }
        changed = true;
    }

    private void run() {
        while (true) {
            synchronized (this) {
                if (destroyed) {
                    return;
                }
                long now = System.nanoTime();
                if (now - leaseFromNanos > platform.leaseS * 1e9) {
                    if (!tasks.isEmpty()) {
                        platform.record.line("lease of %s ends, %s tasks", host, tasks.size());
                    }
                    killAll("is killed: the lease has ended");
                    tenure++;
                    leaseFromNanos = now;
                    changed = true;
                }
                for (Task task : tasks.values()) {
                    step(task, now);
                }
            }
            sleep(20);
        }
    }

    private void step(Task task, long now) {
        if (task.status.equals("fetching") && now >= task.readyNanos) {
            images.add((String) task.job.body().get("bundle"));
            task.onMachine = true;
            task.status = "running";
            platform.onStarted(task.id, instance(task));
            if (sick) {
                exit(task, "error");
            } else if (platform.completed.contains(task.id)) {
                exit(task, "done");
            } else if (!task.job.body().get("shape").equals("service")) {
                task.endsNanos = now + (long) (task.job.runS() * 1e9);
            }
            changed = true;
        } else if (task.status.equals("running")
                && now >= platform.endNanos.getOrDefault(jobOf(task.id), task.endsNanos)) {
            exit(task, "done");
        } else if (task.status.equals("flushing") && now >= task.savedNanos) {
            exit(task, "halted");
        }
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized Map<String, Object> body() {
        tick++;
        List<Object> list = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> item =
                    Http.map("shard", task.id, "try", task.attempt, "status", task.status);
            if (task.cause != null) {
                item.put("cause", task.cause);
            }
            list.add(item);
        }
        return Http.map(
                "host", host, "addr", address, "hosttype", type.name(), "yard", yard,
                "reclaimable", reclaimable, "tenure", tenure, "tick", tick, "epoch", epoch,
                "warningS", null, "shards", list);
    }

    private void report() {
        long nextMillis = 0;
        while (true) {
            long dueNanos = System.nanoTime() + nextMillis * 1_000_000L;
            long earliestNanos = System.nanoTime() + Math.min(nextMillis, 500) * 1_000_000L;
            while (true) {
                synchronized (this) {
                    if (destroyed) {
                        return;
                    }
                    long now = System.nanoTime();
                    if (now >= dueNanos || (changed && now >= earliestNanos)) {
                        changed = false;
                        break;
                    }
                }
                sleep(20);
            }
            nextMillis = reportOnce();
        }
    }

    private long reportOnce() {
        long sentNanos;
        long sentTenure;
        Map<String, Object> body;
        synchronized (this) {
            sentNanos = System.nanoTime();
            sentTenure = tenure;
            body = body();
        }
        String to = platform.controllers.get(node);
        Http.Answer answer = Http.call(to, "POST", "/v1/report", body, 4000);
        if (answer.status() == 200) {
            synchronized (this) {
                if (sentTenure == tenure
                        && !destroyed
                        && answer.field("epoch") instanceof Long token
                        && token >= epoch) {
                    changed |= token > epoch;
                    epoch = token;
                    leaseFromNanos = Math.max(leaseFromNanos, sentNanos);
                    execute((List<?>) answer.field("orders"));
                }
            }
            return (long) (platform.reportS * 1000 * (0.75 + random.nextDouble() / 2));
        }
        if (answer.status() == 421 && answer.field("overseer") instanceof String overseer) {
            int target = Integer.parseInt(overseer.substring(overseer.lastIndexOf('-') + 1));
            if (target != node) {
                node = target;
                return random.nextInt(500);
            }
        }
        node = (node + 1) % platform.controllers.size();
        return 1000;
    }

    private Http.Answer handle(
            String method, String path, Map<String, String> query, Map<String, Object> body) {
        synchronized (this) {
            if (destroyed) {
                return null;
            }
            if (path.equals("/show")) {
                return Http.answer(200, body());
            }
            if (!(body.get("epoch") instanceof Long token)
                    || !(body.get("tenure") instanceof Long session)) {
                return Http.answer(400, Map.of());
            }
            if (token < epoch || session != tenure) {
                return Http.answer(409, body());
            }
            changed |= token > epoch;
            epoch = token;
            execute((List<?>) body.get("orders"));
            return Http.answer(200, body());
        }
    }

    private void execute(List<?> orders) {
        for (Object order : orders) {
            Map<?, ?> fields = (Map<?, ?>) order;
            String id = (String) fields.get("shard");
            long attempt = (Long) fields.get("try");
            String key = id + " " + attempt;
            Task task = tasks.get(key);
            switch ((String) fields.get("verb")) {
                case "launch" -> {
                    if (task == null) {
                        launch(key, id, attempt);
                    }
                }
                case "halt" -> {
                    if (task != null && !task.status.equals("exited")) {
                        halt(task, ((Number) fields.get("windDownS")).doubleValue());
                    }
                }
                case "clear" -> {
                    if (task != null && task.status.equals("exited")) {
                        tasks.remove(key);
                        changed = true;
                    }
                }
                default -> {}
            }
        }
    }

    private void launch(String key, String id, long attempt) {
        changed = true;
        Platform.Job job = platform.jobs.get(jobOf(id));
        Task task = new Task(id, attempt, job);
        boolean there =
                tasks.values().stream()
                        .anyMatch(other -> other.id.equals(id) && !other.status.equals("exited"));
        tasks.put(key, task);
        if (job == null) {
            exit(task, "unknown");
            return;
        }
        if (there) {
            exit(task, "busy");
            return;
        }
        double vcpus = 0;
        double ramGb = 0;
        for (Task other : tasks.values()) {
            if (!other.status.equals("exited")) {
                vcpus += other.job.number("vcpus");
                ramGb += other.job.number("ramGb");
            }
        }
        if (vcpus > type.vcpus() + 1e-9 || ramGb > type.ramGb() + 1e-9) {
            exit(task, "no_room");
            return;
        }
        double fetchS =
                images.contains((String) job.body().get("bundle"))
                        ? 0
                        : job.number("pullGb") / type.pullGbPerS();
        task.readyNanos = System.nanoTime() + (long) (fetchS * 1e9);
    }

    private void halt(Task task, double windDownS) {
        boolean saves =
                task.status.equals("running")
                        && task.job.number("snapshotEveryS") > 0
                        && windDownS >= task.job.number("snapshotCostS");
        if (saves) {
            task.status = "flushing";
            task.savedNanos =
                    System.nanoTime() + (long) (task.job.number("snapshotCostS") * 1e9);
            changed = true;
        } else if (!(task.status.equals("flushing") && windDownS > 0)) {
            exit(task, "halted");
        }
    }
}
