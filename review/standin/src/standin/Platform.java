package standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud with its machines. Machines that are rented boot and get a worker. */
public final class Platform {
    public record Type(
            String name, double vcpus, double ramGb, double cacheGb, double pullGbPerS, double rate,
            double marketPrice, double readyS, List<String> yards) {}

    /** A job as its user submitted it, and how long a task really runs. */
    public record Job(Map<String, Object> body, double runS) {
        double number(String field) {
            return ((Number) body.get(field)).doubleValue();
        }
    }

    private static final class Host {
        final String uid;
        final String type;
        final String yard;
        final boolean reclaimable;
        final long rentedNanos = System.nanoTime();
        String status = "booting";
        Worker worker;

        Host(String uid, String type, String yard, boolean reclaimable) {
            this.uid = uid;
            this.type = type;
            this.yard = yard;
            this.reclaimable = reclaimable;
        }
    }

    final Record record;
    final List<String> controllers;
    final double reportS;
    final double leaseS;
    /** What users have uploaded. */
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    /** When the tasks of a job end, where the case decides that. */
    final Map<String, Long> endNanos = new ConcurrentHashMap<>();
    /** Completed tasks, whose results are kept. */
    final Set<String> completed = ConcurrentHashMap.newKeySet();
    /** The task instances that have their image, by task: on which machine and attempt. */
    final Map<String, Set<String>> present = new HashMap<>();

    private final List<Type> types;
    private final Map<String, Integer> capacity;
    private final String address;
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final Map<String, List<String>> claims = new HashMap<>();
    private int lastHost = 230;

    public Platform(
            Record record,
            List<String> controllers,
            List<Type> types,
            Map<String, Integer> capacity,
            double reportS,
            double leaseS)
            throws IOException {
        this.record = record;
        this.controllers = controllers;
        this.types = types;
        this.capacity = new HashMap<>(capacity);
        this.reportS = reportS;
        this.leaseS = leaseS;
        int port = Http.freePort();
        address = "127.0.0.1:" + port;
        Http.serve(port, this::handle);
    }

    public String address() {
        return address;
    }

    public void submitted(String uid, Map<String, Object> body, double runS) {
        jobs.put(uid, new Job(body, runS));
    }

    /** From now on, the tasks of the job end at this time. */
    public void endAt(String uid, long nanos) {
        endNanos.put(uid, nanos);
    }

    public boolean isCompleted(String task) {
        return completed.contains(task);
    }

    /** Whether the task is on a machine, with its image. */
    public boolean isPresent(String task) {
        synchronized (present) {
            return !present.getOrDefault(task, Set.of()).isEmpty();
        }
    }

    /** Whether the task was ever on a machine. */
    public boolean hasStarted(String task) {
        synchronized (present) {
            return present.containsKey(task);
        }
    }

    Type type(String name) {
        return types.stream().filter(type -> type.name.equals(name)).findFirst().orElse(null);
    }

    /** Rents and boots a machine at once, as one of those that are up at the start. */
    public synchronized Worker addRunning(String type, String yard) throws IOException {
        Host host = add(type, yard, false);
        up(host);
        return host.worker;
    }

    private Host add(String type, String yard, boolean reclaimable) {
        Host host = new Host(String.format("host-%06d", ++lastHost), type, yard, reclaimable);
        hosts.put(host.uid, host);
        return host;
    }

    private synchronized void up(Host host) throws IOException {
        if (hosts.get(host.uid) == host) {
            host.status = "running";
            host.worker = new Worker(this, host.uid, type(host.type), host.yard, host.reclaimable);
            host.worker.start();
            record.line("machine %s of type %s in %s is up", host.uid, host.type, host.yard);
        }
    }

    /** Called with the lock of {@link #present} when a task has its image. */
    void onStarted(String task, String instance) {
        synchronized (present) {
            Set<String> there = present.computeIfAbsent(task, t -> new HashSet<>());
            if (!there.isEmpty()) {
                record.violation("ran_twice", "%s starts at %s while at %s", task, instance, there);
            }
            there.add(instance);
            record.line("run: %s starts at %s", task, instance);
        }
    }

    void onEnded(String task, String instance, String how) {
        synchronized (present) {
            Set<String> there = present.get(task);
            if (there != null && there.remove(instance)) {
                record.line("run: %s at %s %s", task, instance, how);
            }
        }
    }

    private Http.Answer handle(
            String method, String path, Map<String, String> query, Map<String, Object> body)
            throws Exception {
        if (path.equals("/machine_types")) {
            List<Object> list = new ArrayList<>();
            for (Type type : types) {
                list.add(
                        Http.map(
                                "name", type.name, "vcpus", type.vcpus, "cards", 0.0,
                                "ramGb", type.ramGb, "cacheGb", type.cacheGb,
                                "pullGbPerS", type.pullGbPerS, "rate", type.rate,
                                "marketPrice", type.marketPrice, "readyS", type.readyS,
                                "yards", new ArrayList<Object>(type.yards)));
            }
            return Http.answer(200, Http.map("hosttypes", list));
        } else if (path.equals("/machines") && method.equals("GET")) {
            return list(query);
        } else if (path.equals("/machines")) {
            return rent(body);
        } else if (path.equals("/machines/delete")) {
            List<Worker> ended = new ArrayList<>();
            synchronized (this) {
                for (Object uid : (List<?>) body.get("hosts")) {
                    Host host = hosts.remove((String) uid);
                    if (host != null && host.worker != null) {
                        ended.add(host.worker);
                    }
                    record.line("machine %s is deleted", uid);
                }
            }
            ended.forEach(Worker::destroy);
            return Http.answer(200, Map.of());
        }
        return Http.answer(400, Map.of());
    }

    private synchronized Http.Answer list(Map<String, String> query) {
        int most = Math.min(500, Integer.parseInt(query.getOrDefault("most", "500")));
        List<Object> list = new ArrayList<>();
        boolean more = false;
        for (Host host : hosts.tailMap(query.getOrDefault("since", ""), false).values()) {
            if (list.size() == most) {
                more = true;
                break;
            }
            list.add(
                    Http.map(
                            "uid", host.uid,
                            "addr", host.worker == null ? "127.0.0.1:9" : host.worker.address(),
                            "hosttype", host.type, "yard", host.yard,
                            "reclaimable", host.reclaimable, "status", host.status,
                            "heldS", (System.nanoTime() - host.rentedNanos) / 1e9));
        }
        return Http.answer(200, Http.map("hosts", list, "more", more));
    }

    private synchronized Http.Answer rent(Map<String, Object> body) {
        String claim = (String) body.get("claim");
        List<String> given = claims.get(claim);
        if (given == null) {
            String type = (String) body.get("hosttype");
            String yard = (String) body.get("yard");
            boolean reclaimable = (Boolean) body.get("reclaimable");
            long there =
                    hosts.values().stream()
                            .filter(
                                    host ->
                                            host.type.equals(type) && host.yard.equals(yard)
                                                    && host.reclaimable == reclaimable)
                            .count();
            long count = Math.min((Long) body.get("count"), capacity.getOrDefault(type + " " + yard + " " + reclaimable, 0) - there);
            if (count <= 0) {
                return Http.answer(503, Http.map("error", "no capacity"));
            }
            given = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Host host = add(type, yard, reclaimable);
                given.add(host.uid);
                Thread boot =
                        new Thread(
                                () -> {
                                    try {
                                        Thread.sleep((long) (type(type).readyS * 1000));
                                        up(host);
                                    } catch (Exception e) {
                                        record.line("machine %s: %s", host.uid, e);
                                    }
                                });
                boot.setDaemon(true);
                boot.start();
            }
            claims.put(claim, given);
            record.line("rented %s of %s in %s: %s", given.size(), type, yard, given);
        }
        return Http.answer(200, Http.map("hosts", new ArrayList<Object>(given)));
    }
}
