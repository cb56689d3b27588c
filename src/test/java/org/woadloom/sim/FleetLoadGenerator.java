package org.woadloom.sim;

import io.undertow.Undertow;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.net.UndertowTransport;
import org.woadloom.net.XnioEventLoop;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Load generator for three real node processes on loopback, with a simulated store, cloud, agents
 * and users. Prints the CPU time and memory of each node over the measured time. Then it kills the
 * leader and prints how long the other nodes take to launch tasks and to reach the agents. It is
 * run by hand (see docs/operations.md), never by the tests.
 */
final class FleetLoadGenerator {
    private static final int NODES = 3;
    private static final double HEARTBEAT_SECONDS = 4;
    private static final long POLL_INTERVAL_MICROS = 5_000_000;
    private static final double LEASE_SECONDS = 22;
    private static final int BATCH_TASKS = 90;
    private static final int SERVICE_REPLICAS = 6;

    // Positions in the array of counts.
    private static final int RAISED_TOKENS = 3 + NODES;
    private static final int REFUSED_COMMANDS = 4 + NODES;

    private final int machines;
    private final long measureMicros;
    private final double taskSeconds;
    private final List<String> nodeJvmOptions;
    private final Random random = new Random(1);
    private final SimulatedEventLoop storeLoop = new SimulatedEventLoop();
    private final SimulatedStore store =
            new SimulatedStore(
                    storeLoop, new ServiceSettings.Store(10_000, 10_000, 16_384, 16, null));
    private final Map<String, Agent> agents = new LinkedHashMap<>();
    private final Map<String, List<Object>> hostsByRequestName = new LinkedHashMap<>();
    private final List<String> nodeAddresses = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final int simulatorPort = freePort();
    private final XnioIoThread thread;
    private final XnioEventLoop loop;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, 8192, 256, 4);
    private final UndertowTransport userTransport;
    private final double[] kernelSeconds = new double[NODES];
    private final long[] heartbeatsByNode = new long[NODES];
    private long launches;
    private long raisedTokens;
    private long refusedCommands;
    private long firstLaunchMicros = -1;
    private long listedBytes;
    private long polls;
    private long jobs;

    private FleetLoadGenerator(int machines, int seconds, double taskSeconds, List<String> extra)
            throws IOException {
        this.machines = machines;
        this.taskSeconds = taskSeconds;
        this.measureMicros = seconds * 1_000_000L;
        this.nodeJvmOptions = extra;
        XnioWorker agent =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .getMap());
        thread = agent.getIoThread();
        loop = new XnioEventLoop(thread);
        userTransport = new UndertowTransport(loop, thread, buffers, 500);
        Undertow.builder()
                .setWorker(agent)
                .setByteBufferPool(buffers)
                .addHttpListener(simulatorPort, "0.0.0.0")
                .setHandler(
                        exchange ->
                                exchange.getRequestReceiver()
                                        .receiveFullBytes(
                                                (done, body) ->
                                                        done.dispatch(
                                                                SameThreadExecutor.INSTANCE,
                                                                () -> handleRequest(done, body))))
                .build()
                .start();
    }

    /**
     * Arguments: number of machines, seconds to measure, run time of batch tasks in seconds, then
     * JVM options for the nodes, in which NODE is replaced by the label of the node.
     */
    public static void main(String[] args) throws Exception {
        FleetLoadGenerator load =
                new FleetLoadGenerator(
                        Integer.parseInt(args[0]),
                        Integer.parseInt(args[1]),
                        Double.parseDouble(args[2]),
                        List.of(args).subList(3, args.length));
        try {
            load.run();
        } finally {
            load.processes.forEach(Process::destroy);
        }
        System.exit(0);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void run() throws Exception {
        int[] peers = new int[NODES];
        for (int i = 0; i < NODES; i++) {
            nodeAddresses.add("127.0.0.1:" + freePort());
            peers[i] = freePort();
        }
        Path directory = Files.createTempDirectory("fleet");
        for (int i = 0; i < NODES; i++) {
            Path file = directory.resolve("node-" + i + ".toml");
            Files.writeString(file, settings(i, peers));
            List<String> command =
                    new ArrayList<>(
                            List.of(
                                    "java",
                                    "-Xms48m",
                                    "-Xmx64m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-Xss256k"));
            String node = label(i);
            nodeJvmOptions.forEach(option -> command.add(option.replace("NODE", node)));
            command.addAll(
                    List.of("-jar", "target/woadloom.jar", "serve", "--config", file.toString()));
            ProcessBuilder builder =
                    new ProcessBuilder(command)
                            .redirectError(new File(directory.toFile(), "node-" + i + ".log"))
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD);
            builder.environment().put("LOG_LEVEL", "info");
            processes.add(builder.start());
        }
        System.out.println("logs in " + directory);
        loop.execute(this::advanceStoreLoop);
        Thread.sleep(4_000);
        loop.execute(
                () -> {
                    // Each machine has 4 CPUs: half of all CPUs are for services, half for batch
                    // jobs.
                    for (int i = 0; i < machines * 2 / SERVICE_REPLICAS; i++) {
                        submit("service", SERVICE_REPLICAS, 0);
                    }
                    submitBatchJobs();
                });
        Thread.sleep(60_000);
        measure();
        measureFailover();
    }

    private void measure() throws Exception {
        double[] before = cpuSeconds();
        double[] kernelBefore = kernelSeconds.clone();
        long[] counts = counts();
        Thread.sleep(measureMicros / 1000);
        double[] after = cpuSeconds();
        long[] now = counts();
        double seconds = measureMicros / 1e6;
        System.out.printf(
                "%d workers, %.0f reports, %.0f launches, %.0f polls a second, %.0f jobs%n",
                agents.size(),
                (now[0] - counts[0]) / seconds,
                (now[1] - counts[1]) / seconds,
                (now[2] - counts[2]) / seconds,
                (double) jobs);
        double machineMinutes = agents.size() * seconds / 60;
        System.out.printf(
                "a machine and minute: %.2f reports, %.2f tokens raised, %.4f commands refused%n",
                (now[0] - counts[0]) / machineMinutes,
                (now[RAISED_TOKENS] - counts[RAISED_TOKENS]) / machineMinutes,
                (now[REFUSED_COMMANDS] - counts[REFUSED_COMMANDS]) / machineMinutes);
        for (int i = 0; i < NODES; i++) {
            double used = after[i] - before[i];
            long mine = now[3 + i] - counts[3 + i];
            System.out.printf(
                    "%s: %.3f of a core (%.3f in the kernel), %.0f reports a second, %.0f us a"
                            + " report in all, %d MB%n",
                    label(i),
                    used / seconds,
                    (kernelSeconds[i] - kernelBefore[i]) / seconds,
                    mine / seconds,
                    mine == 0 ? 0 : used / mine * 1e6,
                    residentMb(i));
        }
    }

    private void measureFailover() throws Exception {
        int leader = 0;
        for (int i = 1; i < NODES; i++) {
            leader = heartbeatsByNode[i] > heartbeatsByNode[leader] ? i : leader;
        }
        CountDownLatch done = new CountDownLatch(1);
        Process ending = processes.get(leader);
        loop.execute(
                () -> {
                    long term = 0;
                    for (Agent agent : agents.values()) {
                        term = Math.max(term, agent.fencingToken >> AgentLiveness.FENCE_BITS);
                    }
                    ending.destroyForcibly();
                    listedBytes = 0;
                    firstLaunchMicros = -1;
                    awaitFailover(loop.nowMicros(), term, done);
                });
        done.await(60, TimeUnit.SECONDS);
    }

    private void awaitFailover(long from, long term, CountDownLatch done) {
        long reached =
                agents.values().stream()
                        .filter(w -> w.fencingToken >> AgentLiveness.FENCE_BITS > term)
                        .count();
        if (reached >= agents.size() * 0.95 && firstLaunchMicros >= 0) {
            System.out.printf(
                    "takeover: first launch after %.1f s, 95 %% of the workers reached after %.1f"
                            + " s, %d KB of records read%n",
                    (firstLaunchMicros - from) / 1e6,
                    (loop.nowMicros() - from) / 1e6,
                    listedBytes / 1024);
            done.countDown();
        } else {
            loop.schedule(50_000, () -> awaitFailover(from, term, done));
        }
    }

    private long[] counts() throws Exception {
        long[] counts = new long[5 + NODES];
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    counts[1] = launches;
                    counts[2] = polls;
                    counts[RAISED_TOKENS] = raisedTokens;
                    counts[REFUSED_COMMANDS] = refusedCommands;
                    for (int i = 0; i < NODES; i++) {
                        counts[0] += heartbeatsByNode[i];
                        counts[3 + i] = heartbeatsByNode[i];
                    }
                    done.countDown();
                });
        done.await(10, TimeUnit.SECONDS);
        return counts;
    }

    private double[] cpuSeconds() throws IOException {
        double[] seconds = new double[NODES];
        for (int i = 0; i < NODES; i++) {
            String[] fields =
                    Files.readString(Path.of("/proc/" + processes.get(i).pid() + "/stat"))
                            .split(" ");
            seconds[i] = (Long.parseLong(fields[13]) + Long.parseLong(fields[14])) / 100.0;
            kernelSeconds[i] = Long.parseLong(fields[14]) / 100.0;
        }
        return seconds;
    }

    private int residentMb(int i) throws IOException {
        for (String line :
                Files.readAllLines(Path.of("/proc/" + processes.get(i).pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Integer.parseInt(line.replaceAll("\\D", "")) / 1024;
            }
        }
        return 0;
    }

    private static String label(int i) {
        return "node-" + i;
    }

    private String settings(int i, int[] peers) {
        StringBuilder text =
                new StringBuilder(
                        "label = \""
                                + label(i)
                                + "\"\narea = \""
                                + zone(i)
                                + "\"\nbind = \""
                                + nodeAddresses.get(i)
                                + "\"\npeer_bind = \"127.0.0.1:"
                                + peers[i]
                                + "\"\n");
        for (int p = 0; p < NODES; p++) {
            if (p != i) {
                text.append("[[peers]]\nlabel = \"")
                        .append(label(p))
                        .append("\"\narea = \"")
                        .append(zone(p))
                        .append("\"\naddress = \"127.0.0.1:")
                        .append(peers[p])
                        .append("\"\n");
            }
        }
        return text
                + "[outside]\ncloud = \"127.0.0.1:"
                + simulatorPort
                + "\"\nstate = \"127.0.0.1:"
                + simulatorPort
                + "\"\n"
                + "[deployment]\ncount = 3\nzones = [\"a\", \"b\"]\nclock_off_ms = 100.0\n"
                + "[[deployment.teams]]\nname = \"team\"\ncpus = 100000.0\ncpus_max = 100000.0\n"
                + "[deployment.workers]\nreport_s = "
                + HEARTBEAT_SECONDS
                + "\n"
                + "lease_s = "
                + LEASE_SECONDS
                + "\n"
                + "cancel_s = 52.0\n"
                + "[deployment.state]\n"
                + "rps = 700.0\n"
                + "write_rps = 300.0\n"
                + "value_kb = 16.0\n"
                + "txn_ops = 16\n"
                + "[deployment.cloud]\n"
                + "rps = 10.0\n"
                + "list_lag_s = 4.0\n"
                + "[deployment.resources]\n"
                + "cpu_share = 0.4\n"
                + "ram_mb = 414.0\n"
                + "fd_limit = 2500\n";
    }

    private static String zone(int i) {
        return i % 2 == 0 ? "a" : "b";
    }

    /** Keeps the virtual time of the store in step with real time. */
    private void advanceStoreLoop() {
        long now = loop.nowMicros() - startMicros;
        while (storeLoop.step(now)) {
            continue;
        }
        loop.schedule(2_000, this::advanceStoreLoop);
    }

    private final long startMicros = System.nanoTime() / 1000;

    // Users.

    private void submitBatchJobs() {
        double tasksAtATime = machines * 2.0;
        submit("batch", BATCH_TASKS, taskSeconds);
        double mean = BATCH_TASKS * taskSeconds / tasksAtATime;
        loop.schedule(
                (long) (-Math.log(1 - random.nextDouble()) * mean * 1e6), this::submitBatchJobs);
    }

    private void submit(String shape, int shards, double runtimeS) {
        String jobId = String.format("j-%06d", jobs++);
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("uid", jobId);
        job.put("jobclass", shape);
        job.put("crew", "team");
        job.put("shape", shape);
        job.put("rank", shape.equals("service") ? "critical" : "high");
        job.put("shards", (long) shards);
        job.put("vcpus", 1.0);
        job.put("cards", 0.0);
        job.put("ramGb", 1.0);
        job.put("bundle", "img-" + random.nextInt(8));
        job.put("pullGb", 0.5);
        job.put("samePlace", false);
        job.put("apart", shape.equals("service"));
        job.put("reclaimable", !shape.equals("service"));
        job.put("runtimeS", runtimeS);
        job.put("snapshotEveryS", 0.0);
        job.put("snapshotCostS", 0.0);
        submit(jobId, Cbor.encode(job));
    }

    private void submit(String jobId, byte[] job) {
        userTransport.request(
                nodeAddresses.get(random.nextInt(NODES)),
                "POST",
                "/v1/jobs",
                job,
                5_000_000,
                (status, body) -> {
                    if (status == 201 || status == 200) {
                        loop.schedule(
                                random.nextInt((int) POLL_INTERVAL_MICROS), () -> poll(jobId));
                    } else {
                        loop.schedule(1_000_000, () -> submit(jobId, job));
                    }
                });
    }

    private void poll(String jobId) {
        userTransport.request(
                nodeAddresses.get(random.nextInt(NODES)),
                "GET",
                "/v1/jobs/" + jobId,
                null,
                2_000_000,
                (status, body) -> {
                    polls++;
                    if (!"done".equals(decode(body).get("status"))) {
                        loop.schedule(POLL_INTERVAL_MICROS, () -> poll(jobId));
                    }
                });
    }

    private static Map<String, Object> decode(byte[] body) {
        try {
            return body.length == 0 ? Map.of() : Cbor.decodeMap(body);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    // Store, cloud and agents, distinguished by path and address.

    private void handleRequest(HttpServerExchange exchange, byte[] body) {
        String query = exchange.getQueryString();
        String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
        Map<String, Object> map = decode(body);
        if (path.equals("/do")) {
            Agent agent =
                    agents.get(
                            "host-"
                                    + exchange.getDestinationAddress()
                                            .getAddress()
                                            .getHostAddress());
            if (agent == null) {
                reply(exchange, 400, Map.of());
            } else {
                reply(exchange, agent.executeDirectCommand(map) ? 200 : 409, agent.heartbeat());
            }
        } else if (path.startsWith("/machine")) {
            reply(
                    exchange,
                    200,
                    handleCloudRequest(exchange.getRequestMethod().toString(), path, map));
        } else {
            store.handle(
                    exchange.getRequestMethod().toString(),
                    path,
                    map,
                    (status, answer) -> {
                        if (path.startsWith("/keys?")) {
                            listedBytes += Cbor.encode(answer).length;
                        }
                        reply(exchange, status, answer);
                    });
        }
    }

    private static void reply(HttpServerExchange exchange, int status, Map<String, Object> map) {
        exchange.setStatusCode(status);
        exchange.getResponseSender().send(ByteBuffer.wrap(Cbor.encode(map)));
    }

    private Map<String, Object> handleCloudRequest(
            String method, String path, Map<String, Object> body) {
        if (path.equals("/machine_types")) {
            Map<String, Object> type =
                    new LinkedHashMap<>(
                            Map.of(
                                    "name",
                                    "m4",
                                    "vcpus",
                                    4.0,
                                    "cards",
                                    0.0,
                                    "ramGb",
                                    32.0,
                                    "cacheGb",
                                    40.0,
                                    "pullGbPerS",
                                    1.0,
                                    "rate",
                                    0.17,
                                    "marketPrice",
                                    0.05,
                                    "readyS",
                                    3.0,
                                    "yards",
                                    List.of("a", "b")));
            return Map.of("hosttypes", List.of(type));
        }
        if (method.equals("POST") && path.equals("/machines")) {
            return Map.of(
                    "hosts",
                    hostsByRequestName.computeIfAbsent(
                            (String) body.get("claim"), claim -> rent(body)));
        }
        if (path.equals("/machines/delete")) {
            ((List<?>) body.get("hosts"))
                    .forEach(
                            host -> {
                                Agent agent = agents.remove(host);
                                if (agent != null) {
                                    agent.deleted = true;
                                }
                            });
            return Map.of();
        }
        List<Object> hosts = new ArrayList<>();
        agents.values()
                .forEach(
                        w ->
                                hosts.add(
                                        Map.of(
                                                "uid",
                                                w.host,
                                                "addr",
                                                w.address,
                                                "hosttype",
                                                "m4",
                                                "yard",
                                                w.zone,
                                                "reclaimable",
                                                w.spot,
                                                "status",
                                                "running",
                                                "heldS",
                                                60.0)));
        return Map.of("hosts", hosts, "more", false);
    }

    private List<Object> rent(Map<String, Object> body) {
        List<Object> hosts = new ArrayList<>();
        for (long i = 0; i < (Long) body.get("count"); i++) {
            Agent agent =
                    new Agent(
                            agents.size() + hostsByRequestName.size() * 64,
                            (String) body.get("yard"),
                            (Boolean) body.get("reclaimable"));
            if (agents.putIfAbsent(agent.host, agent) == null) {
                hosts.add(agent.host);
                loop.schedule(1_000_000 + random.nextInt(2_000_000), agent::sendPeriodicHeartbeat);
            }
        }
        return hosts;
    }

    /** The agent of a machine with 4 CPUs: sends heartbeats and runs tasks as commanded. */
    private final class Agent {
        final String host;
        final String address;
        final String zone;
        final boolean spot;
        final UndertowTransport transport = new UndertowTransport(loop, thread, buffers, 1);
        final Map<String, Map<String, Object>> tasks = new LinkedHashMap<>();
        int node = random.nextInt(NODES);
        long sequence;
        long fencingToken;
        long lastTokenChangeMicros = Long.MIN_VALUE / 2;
        boolean deleted;
        boolean heartbeatInFlight;
        long lastHeartbeatMicros;
        boolean earlyHeartbeatScheduled;

        Agent(int number, String zone, boolean spot) {
            String ip =
                    "127."
                            + (1 + number / 62_500)
                            + "."
                            + (1 + number / 250 % 250)
                            + "."
                            + (1 + number % 250);
            this.host = "host-" + ip;
            this.address = ip + ":" + simulatorPort;
            this.zone = zone;
            this.spot = spot;
        }

        void scheduleHeartbeat() {
            loop.schedule(
                    (long) (HEARTBEAT_SECONDS * 1e6 * (0.75 + random.nextDouble() / 2)),
                    this::sendPeriodicHeartbeat);
        }

        void scheduleEarlyHeartbeat() {
            if (!earlyHeartbeatScheduled) {
                earlyHeartbeatScheduled = true;
                loop.schedule(
                        Math.max(1_000, lastHeartbeatMicros + 500_000 - loop.nowMicros()),
                        () -> {
                            earlyHeartbeatScheduled = false;
                            sendHeartbeat(false);
                        });
            }
        }

        void sendPeriodicHeartbeat() {
            sendHeartbeat(true);
        }

        private void sendHeartbeat(boolean periodic) {
            if (deleted) {
                return;
            }
            if (periodic) {
                scheduleHeartbeat();
            }
            if (heartbeatInFlight) {
                return;
            }
            heartbeatInFlight = true;
            lastHeartbeatMicros = loop.nowMicros();
            int at = node;
            transport.request(
                    nodeAddresses.get(at),
                    "POST",
                    "/v1/report",
                    Cbor.encode(heartbeat()),
                    4_000_000,
                    (status, answer) -> {
                        heartbeatInFlight = false;
                        heartbeatsByNode[at]++;
                        Map<String, Object> map = decode(answer);
                        if (status == 200) {
                            if (adoptToken((Long) map.get("epoch"))) {
                                execute((List<?>) map.get("orders"));
                            }
                        } else if (status == 421 && map.get("overseer") instanceof String leader) {
                            node = Integer.parseInt(leader.substring(5));
                            scheduleEarlyHeartbeat();
                        } else {
                            node = (node + 1) % NODES;
                            loop.schedule(1_000_000, this::scheduleEarlyHeartbeat);
                        }
                    });
        }

        /** Returns false if the command is refused. */
        boolean executeDirectCommand(Map<String, Object> body) {
            if (!adoptToken((Long) body.get("epoch"))) {
                refusedCommands++;
                return false;
            }
            execute((List<?>) body.get("orders"));
            return true;
        }

        /**
         * Returns false for a token that is too low. A higher one counts as a change at most once
         * in half of a lease.
         */
        private boolean adoptToken(long token) {
            if (token < fencingToken) {
                return false;
            }
            if (token > fencingToken) {
                boolean isOfSameTerm =
                        token >> AgentLiveness.FENCE_BITS
                                == fencingToken >> AgentLiveness.FENCE_BITS;
                raisedTokens += isOfSameTerm ? 1 : 0;
                fencingToken = token;
                if (loop.nowMicros() - lastTokenChangeMicros > LEASE_SECONDS / 2 * 1e6) {
                    lastTokenChangeMicros = loop.nowMicros();
                    scheduleEarlyHeartbeat();
                }
            }
            return true;
        }

        Map<String, Object> heartbeat() {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("host", host);
            map.put("addr", address);
            map.put("hosttype", "m4");
            map.put("yard", zone);
            map.put("reclaimable", spot);
            map.put("tenure", 1L);
            map.put("tick", ++sequence);
            map.put("epoch", fencingToken);
            map.put("warningS", null);
            map.put("shards", new ArrayList<Object>(tasks.values()));
            return map;
        }

        private void execute(List<?> commands) {
            for (Object item : commands) {
                Map<?, ?> order = (Map<?, ?>) item;
                String shard = (String) order.get("shard");
                switch ((String) order.get("verb")) {
                    case "launch" -> launch(shard, (Long) order.get("try"));
                    case "halt" -> exit(shard, "halted");
                    default -> tasks.remove(shard);
                }
                scheduleEarlyHeartbeat();
            }
        }

        private void launch(String shard, long attempt) {
            if (tasks.containsKey(shard)) {
                return;
            }
            launches++;
            firstLaunchMicros = firstLaunchMicros < 0 ? loop.nowMicros() : firstLaunchMicros;
            Map<String, Object> task = new LinkedHashMap<>();
            task.put("shard", shard);
            task.put("try", attempt);
            task.put("status", "fetching");
            tasks.put(shard, task);
            loop.schedule(
                    500_000,
                    () -> {
                        task.put("status", "running");
                        scheduleEarlyHeartbeat();
                    });
            // Jobs with lower numbers are services, which do not end.
            if (Integer.parseInt(shard.substring(2, 8)) >= machines * 2 / SERVICE_REPLICAS) {
                loop.schedule(
                        (long) (taskSeconds * 1e6),
                        () -> {
                            if (tasks.get(shard) == task) {
                                exit(shard, "done");
                                scheduleEarlyHeartbeat();
                            }
                        });
            }
        }

        private void exit(String shard, String cause) {
            Map<String, Object> task = tasks.get(shard);
            if (task != null) {
                task.put("status", "exited");
                task.put("cause", cause);
            }
        }
    }
}
