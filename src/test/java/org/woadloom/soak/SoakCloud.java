package org.woadloom.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadloom.net.EventLoop;
import org.woadloom.sim.SimulatedStore;

/** The cloud after the protocol: claims that repeat, boots that take a while, a list that lags. */
final class SoakCloud {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final double REQUESTS_PER_SECOND = 10;
    private static final int MIN_BOOT_MICROS = 300_000;
    private static final int BOOT_SPREAD_MICROS = 3_000_000;
    private static final long SNAPSHOT_INTERVAL_MICROS = 500_000;
    private static final int MIN_LIST_LAG_MICROS = 1_000_000;
    private static final int LIST_LAG_SPREAD_MICROS = 3_000_000;

    /** Makes the agent of a machine that is up. */
    interface Boot {
        SoakAgent boot(TaskStart.MachineFacts machine);

        /** Where the machine's agent takes direct commands. */
        String address(String machine);
    }

    /** A machine; its agent is null while it boots. */
    private static final class Rented {
        final TaskStart.MachineFacts facts;
        SoakAgent agent;
        boolean failed;

        Rented(TaskStart.MachineFacts facts) {
            this.facts = facts;
        }
    }

    private final EventLoop loop;
    private final Random random;
    private final int capacity;
    private final Boot boot;
    private final Map<String, Rented> machines = new LinkedHashMap<>();
    private final Map<String, List<Object>> claims = new LinkedHashMap<>();
    private List<Object> listed = List.of();
    private int created;
    private double tokens;
    private long tokensMicros;

    SoakCloud(EventLoop loop, Random random, int capacity, Boot boot) {
        this.loop = loop;
        this.random = random;
        this.capacity = capacity;
        this.boot = boot;
    }

    void start() {
        List<Object> snapshot = new ArrayList<>();
        machines.forEach((name, machine) -> snapshot.add(item(machine)));
        int lag = MIN_LIST_LAG_MICROS + random.nextInt(LIST_LAG_SPREAD_MICROS);
        loop.schedule(lag, () -> listed = snapshot);
        loop.schedule(SNAPSHOT_INTERVAL_MICROS, this::start);
    }

    /** The agents of the machines that are up. */
    List<SoakAgent> agents() {
        return machines.values().stream()
                .filter(machine -> machine.agent != null && !machine.failed)
                .map(machine -> machine.agent)
                .toList();
    }

    void fail(SoakAgent agent) {
        machines.get(agent.machine().name()).failed = true;
        agent.die();
    }

    private Map<String, Object> item(Rented machine) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", machine.facts.name());
        map.put("addr", boot.address(machine.facts.name()));
        map.put("hosttype", "m8");
        map.put("yard", machine.facts.zone());
        map.put("reclaimable", machine.facts.spot());
        boolean up = machine.agent != null;
        map.put("status", machine.failed ? "failed" : up ? "running" : "booting");
        map.put("heldS", 5.0);
        return map;
    }

    void handle(
            String method, String path, Map<String, Object> body, SimulatedStore.Answer answer) {
        if (!takeToken()) {
            answer.answer(TOO_MANY_REQUESTS, Map.of("error", "too many requests"));
        } else if (path.equals("/machine_types")) {
            answer.answer(OK, Map.of("hosttypes", List.of(machineType())));
        } else if (path.equals("/machines/delete")) {
            ((List<?>) body.get("hosts")).forEach(this::delete);
            answer.answer(OK, Map.of());
        } else if (method.equals("GET")) {
            answer.answer(OK, page(path));
        } else {
            rent(body, answer);
        }
    }

    private boolean takeToken() {
        long now = loop.nowMicros();
        double refilled = (now - tokensMicros) * REQUESTS_PER_SECOND / 1e6;
        tokens = Math.min(2 * REQUESTS_PER_SECOND, tokens + refilled);
        tokensMicros = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private static Map<String, Object> machineType() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", "m8");
        map.put("vcpus", SoakAgent.CPUS);
        map.put("cards", 0.0);
        map.put("ramGb", 64.0);
        map.put("cacheGb", 40.0);
        map.put("pullGbPerS", 1.0);
        map.put("rate", 0.4);
        map.put("marketPrice", 0.1);
        map.put("readyS", 2.0);
        map.put("yards", List.of("a", "b"));
        return map;
    }

    private Map<String, Object> page(String path) {
        String since = parameter(path, "since");
        int most = Integer.parseInt(parameter(path, "most"));
        List<Object> after =
                listed.stream()
                        .filter(
                                item ->
                                        ((String) ((Map<?, ?>) item).get("uid")).compareTo(since)
                                                > 0)
                        .toList();
        boolean more = after.size() > most;
        return Map.of("hosts", more ? after.subList(0, most) : after, "more", more);
    }

    private static String parameter(String path, String name) {
        for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return "";
    }

    private void delete(Object host) {
        Rented machine = machines.remove(host);
        if (machine != null && machine.agent != null) {
            machine.agent.die();
        }
    }

    private void rent(Map<String, Object> body, SimulatedStore.Answer answer) {
        String claim = (String) body.get("claim");
        List<Object> hosts = claims.get(claim);
        if (hosts == null) {
            hosts = new ArrayList<>();
            for (long i = 0; i < (Long) body.get("count") && machines.size() < capacity; i++) {
                hosts.add(create(body));
            }
            if (hosts.isEmpty()) {
                answer.answer(UNAVAILABLE, Map.of("error", "no capacity"));
                return;
            }
            claims.put(claim, hosts);
        }
        answer.answer(OK, Map.of("hosts", hosts));
    }

    private String create(Map<String, Object> body) {
        String name = String.format("host-%06d", ++created);
        Rented machine =
                new Rented(
                        new TaskStart.MachineFacts(
                                name,
                                (String) body.get("yard"),
                                (Boolean) body.get("reclaimable")));
        machines.put(name, machine);
        int bootMicros = MIN_BOOT_MICROS + random.nextInt(BOOT_SPREAD_MICROS);
        loop.schedule(bootMicros, () -> bootUnlessDeleted(machine));
        return name;
    }

    @SuppressWarnings("ReferenceEquality") // Names are not used again.
    private void bootUnlessDeleted(Rented machine) {
        if (machines.get(machine.facts.name()) == machine) {
            machine.agent = boot.boot(machine.facts);
            machine.agent.start();
        }
    }
}
