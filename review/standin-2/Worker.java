import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One machine with its worker, as the protocol page describes it. All state is on one thread. */
final class Worker {
    static final class Task {
        final String shard;
        final long attempt;
        final Job job;
        String status = "fetching";
        String cause;
        Boolean saved;
        double runningSince = -1;

        Task(String shard, long attempt, Job job) {
            this.shard = shard;
            this.attempt = attempt;
            this.job = job;
        }

        boolean live() {
            return cause == null;
        }

        int index() {
            return Integer.parseInt(shard.substring(shard.indexOf('/') + 1));
        }
    }

    final String host;
    final Site.Type type;
    final String zone;
    final boolean reclaimable;
    final String address;
    private final Site site;
    private final List<String> nodes;
    private final List<String> nodeLabels;
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread t = new Thread(task);
                        t.setDaemon(true);
                        return t;
                    });
    private final Map<String, Task> tasks = new LinkedHashMap<>();

    /** When each image is, or was, there. */
    private final Map<String, Double> images = new HashMap<>();

    private volatile int node;
    private long tenure = 1;
    private long tick;
    private long epoch;
    private double leaseFrom;
    private volatile double lastSent = -10;
    private volatile boolean inFlight;
    private boolean changed;
    private boolean changeTimer;
    private boolean gone;

    /** After a failure: no report before this time. */
    private double pausedUntil;

    /** The network of the machine; while it is cut nothing reaches the worker or leaves it. */
    final Proxy link;

    /** Every launch command: {@code shard attempt}, when it came, and when its sender sent it. */
    final List<Launch> launches = new CopyOnWriteArrayList<>();

    /** Every start of a task, with its time. */
    final List<Launch> starts = new CopyOnWriteArrayList<>();

    record Launch(String shard, long attempt, double at, double sentAt, String by) {}

    /** Trouble: every task that it starts fails. */
    volatile boolean sick;

    /** One line for many launches instead of one for each. */
    volatile boolean brief;

    volatile int largestReport;
    volatile int refusedReports;
    volatile int expiries;
    volatile int lostTasks;

    Worker(
            String host,
            Site.Type type,
            String zone,
            boolean reclaimable,
            Site site,
            List<String> nodes,
            List<String> nodeLabels)
            throws IOException {
        this.host = host;
        this.type = type;
        this.zone = zone;
        this.reclaimable = reclaimable;
        this.site = site;
        this.nodes = nodes;
        this.nodeLabels = nodeLabels;
        int own = Http.freePort();
        Http.serveWithPort(own, this::handle);
        link = new Proxy(Http.freePort(), Http.HOST + ":" + own);
        address = link.address;
        node = ThreadLocalRandom.current().nextInt(nodes.size());
    }

    void start() {
        thread.execute(
                () -> {
                    leaseFrom = Rec.now();
                    report();
                });
        thread.scheduleAtFixedRate(this::checkLease, 100, 100, TimeUnit.MILLISECONDS);
        scheduleReport();
    }

    private void scheduleReport() {
        double pause = site.reportS * (0.75 + ThreadLocalRandom.current().nextDouble() / 2);
        after(
                pause,
                () -> {
                    scheduleReport();
                    report();
                });
    }

    private void after(double seconds, Runnable task) {
        thread.schedule(
                () -> {
                    try {
                        if (!gone) {
                            task.run();
                        }
                    } catch (RuntimeException e) {
                        e.printStackTrace();
                    }
                },
                Math.max(0, (long) (seconds * 1e6)),
                TimeUnit.MICROSECONDS);
    }

    /** The machine is deleted or taken: nothing of it is left. */
    void terminate() {
        thread.execute(
                () -> {
                    gone = true;
                    tasks.clear();
                });
    }

    /** The node that it reports to. */
    int node() {
        return node;
    }

    /** When its last report was sent. */
    double lastSent() {
        return lastSent;
    }

    boolean reportInFlight() {
        return inFlight;
    }

    boolean isGone() {
        return gone;
    }

    /** The live tasks that run, for the checks. */
    List<String> running() {
        try {
            return CompletableFuture.supplyAsync(
                            () ->
                                    tasks.values().stream()
                                            .filter(t -> t.status.equals("running"))
                                            .map(t -> t.shard)
                                            .toList(),
                            thread)
                    .get();
        } catch (Exception e) {
            return List.of();
        }
    }

    /** CPUs and memory that its live tasks leave free. */
    double[] room() {
        try {
            return CompletableFuture.supplyAsync(this::free, thread).get();
        } catch (Exception e) {
            return new double[] {0, 0};
        }
    }

    private double[] free() {
        double cpus = type.cpus();
        double ram = type.ramGb();
        for (Task task : tasks.values()) {
            if (task.live() && task.job != null) {
                cpus -= task.job.number("vcpus");
                ram -= task.job.number("ramGb");
            }
        }
        return new double[] {cpus, ram};
    }

    private void checkLease() {
        if (!gone && Rec.now() - leaseFrom > site.leaseS) {
            int lost = (int) tasks.values().stream().filter(Task::live).count();
            int running = (int) tasks.values().stream().filter(t -> t.status.equals("running")).count();
            if (!tasks.isEmpty()) {
                expiries++;
                lostTasks += lost;
                Rec.log(
                        "%s LEASE RAN OUT in session %d: kills %d tasks (%d running) and forgets %d",
                        host, tenure, lost, running, tasks.size());
            }
            tasks.clear();
            tenure++;
            leaseFrom = Rec.now();
            onChange();
        }
    }

    private void onChange() {
        changed = true;
        if (!changeTimer) {
            changeTimer = true;
            after(
                    Math.max(0.001, lastSent + 0.5 - Rec.now()),
                    () -> {
                        changeTimer = false;
                        if (changed) {
                            report();
                        }
                    });
        }
    }

    private void report() {
        if (gone || inFlight || Rec.now() < pausedUntil) {
            return;
        }
        inFlight = true;
        changed = false;
        double sent = Rec.now();
        lastSent = sent;
        long sentTenure = tenure;
        Map<String, Object> body = state();
        int size = Cbor.jsonSize(body);
        largestReport = Math.max(largestReport, size);
        send(body, sentTenure, sent, node, size);
    }

    /** Behind a cut, the connection hangs; it is there as soon as the cut ends. */
    private void send(Map<String, Object> body, long sentTenure, double sent, int asked, int size) {
        double left = sent + 4 - Rec.now();
        if (link.isCut() && left > 0.05) {
            after(0.02, () -> send(body, sentTenure, sent, asked, size));
        } else if (link.isCut()) {
            onAnswer(sentTenure, sent, asked, size, new Http.Reply(0, new byte[0]));
        } else {
            Http.send(nodes.get(asked), "POST", "/v1/report", body, Math.max(0.05, left))
                    .thenAcceptAsync(
                            reply -> onAnswer(sentTenure, sent, asked, size, reply), thread);
        }
    }

    private void onAnswer(long sentTenure, double sent, int asked, int size, Http.Reply reply) {
        inFlight = false;
        if (gone) {
            return;
        }
        Map<String, Object> answer = reply.body();
        if (reply.status() == 200) {
            long token = answer.get("epoch") instanceof Long n ? n : -1;
            if (sentTenure == tenure && token >= epoch) {
                learn(token);
                leaseFrom = Math.max(leaseFrom, sent);
                execute((List<?>) answer.get("orders"), "answer", Rec.now());
            }
        } else if (reply.status() == 421 && nodeLabels.indexOf(answer.get("overseer")) >= 0
                && nodeLabels.indexOf(answer.get("overseer")) != asked) {
            node = nodeLabels.indexOf(answer.get("overseer"));
            pausedUntil = Rec.now() + 0.1;
            after(0.11, this::report);
        } else {
            if (reply.status() != 421) {
                refusedReports++;
                Rec.log(
                        "%s report of %d bytes (as JSON, %d tasks) to %s: %s %s",
                        host,
                        size,
                        tasks.size(),
                        nodeLabels.get(asked),
                        reply.status() == 0 ? "no answer" : "status " + reply.status(),
                        answer);
            }
            node = (asked + 1) % nodes.size();
            pausedUntil = Rec.now() + 1;
            after(1.01, this::report);
        }
        if (changed) {
            onChange();
        }
    }

    private void learn(long token) {
        if (token > epoch) {
            epoch = token;
            onChange();
        }
    }

    private Map<String, Object> state() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("host", host);
        map.put("addr", address);
        map.put("hosttype", type.name());
        map.put("yard", zone);
        map.put("reclaimable", reclaimable);
        map.put("tenure", tenure);
        map.put("tick", ++tick);
        map.put("epoch", epoch);
        map.put("warningS", null);
        List<Object> list = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("shard", task.shard);
            item.put("try", task.attempt);
            item.put("status", task.status);
            if (task.cause != null) {
                item.put("cause", task.cause);
            }
            if (task.saved != null) {
                item.put("saved", task.saved);
            }
            list.add(item);
        }
        map.put("shards", list);
        return map;
    }

    private Http.Answer handle(int fromPort, String path, byte[] body) throws Exception {
        return CompletableFuture.supplyAsync(
                        () -> direct(path, Cbor.map(body), link.lastBytesAt(fromPort)), thread)
                .get();
    }

    private Http.Answer direct(String path, Map<String, Object> body, double sentAt) {
        if (gone) {
            return null;
        }
        if (path.equals("/show")) {
            return Http.Answer.of(200, state());
        }
        if (!(body.get("epoch") instanceof Long token) || !(body.get("tenure") instanceof Long t)) {
            return Http.Answer.of(400, Map.of("error", "malformed"));
        }
        if (token < epoch || t != tenure) {
            return Http.Answer.of(409, state());
        }
        learn(token);
        execute((List<?>) body.get("orders"), "direct", sentAt);
        return Http.Answer.of(200, state());
    }

    private void execute(List<?> orders, String by, double sentAt) {
        int launched = 0;
        int halts = 0;
        for (Object o : orders == null ? List.of() : orders) {
            Map<?, ?> order = (Map<?, ?>) o;
            String shard = (String) order.get("shard");
            long attempt = ((Number) order.get("try")).longValue();
            String key = shard + " " + attempt;
            Task task = tasks.get(key);
            switch ((String) order.get("verb")) {
                case "launch" -> {
                    launched++;
                    launches.add(new Launch(shard, attempt, Rec.now(), sentAt, by));
                    if (!brief) {
                        Rec.log(
                                "%s %s launch %s try %d, token %d", host, by, shard, attempt, epoch);
                    }
                    if (task == null) {
                        launch(key, shard, attempt);
                    }
                }
                case "halt" -> {
                    halts++;
                    if (!brief) {
                        Rec.log("%s %s halt %s try %d", host, by, shard, attempt);
                    }
                    halt(task, ((Number) order.get("windDownS")).doubleValue());
                }
                default -> {
                    if (task != null && !task.live()) {
                        tasks.remove(key);
                    }
                }
            }
        }
        if (brief && launched + halts > 0) {
            Rec.log("%s %s %d launch, %d halt commands", host, by, launched, halts);
        }
        if (orders != null && !orders.isEmpty()) {
            onChange();
        }
    }

    private void launch(String key, String shard, long attempt) {
        Job job = Job.ALL.get(shard.substring(0, shard.indexOf('/')));
        Task task = new Task(shard, attempt, job);
        boolean busy = tasks.values().stream().anyMatch(t -> t.live() && t.shard.equals(shard));
        double[] free = free();
        tasks.put(key, task);
        if (job == null) {
            exit(task, "unknown");
        } else if (busy) {
            exit(task, "busy");
        } else if (job.number("vcpus") > free[0] + 1e-9 || job.number("ramGb") > free[1] + 1e-9) {
            exit(task, "no_room");
        } else {
            double ready =
                    images.computeIfAbsent(
                            job.image(),
                            image -> Rec.now() + job.number("pullGb") / type.pullGbPerS());
            after(Math.max(0.005, ready - Rec.now()), () -> run(key, task));
        }
    }

    private void run(String key, Task task) {
        if (tasks.get(key) != task || !task.live()) {
            return;
        }
        if (sick) {
            exit(task, "error");
            return;
        }
        task.status = "running";
        task.runningSince = Rec.now();
        starts.add(new Launch(task.shard, task.attempt, Rec.now(), 0, ""));
        if (!brief) {
            Rec.log("%s RUNS %s try %d", host, task.shard, task.attempt);
        }
        onChange();
        if (!task.job.service()) {
            double left = task.job.done.contains(task.index()) ? 0 : task.job.runS;
            after(
                    left,
                    () -> {
                        if (tasks.get(key) == task && task.status.equals("running")) {
                            task.job.done.add(task.index());
                            exit(task, "done");
                        }
                    });
        }
    }

    /** A fetch that no task waits for any more is given up. */
    private void giveUpFetch(Job job) {
        if (job != null
                && images.getOrDefault(job.image(), 0.0) > Rec.now()
                && tasks.values().stream()
                        .noneMatch(t -> t.status.equals("fetching") && t.job == job)) {
            images.remove(job.image());
        }
    }

    private void halt(Task task, double windDownS) {
        if (task == null || !task.live()) {
            return;
        }
        boolean saves =
                task.status.equals("running")
                        && task.job.number("snapshotEveryS") > 0
                        && windDownS >= task.job.number("snapshotCostS");
        if (!saves) {
            exit(task, "halted");
            return;
        }
        task.status = "flushing";
        after(
                task.job.number("snapshotCostS"),
                () -> {
                    if (task.live()) {
                        task.saved = true;
                        exit(task, "halted");
                    }
                });
    }

    private void exit(Task task, String cause) {
        task.status = "exited";
        task.cause = cause;
        giveUpFetch(task.job);
        if (!brief) {
            Rec.log("%s EXIT %s try %d: %s", host, task.shard, task.attempt, cause);
        }
        onChange();
    }
}
