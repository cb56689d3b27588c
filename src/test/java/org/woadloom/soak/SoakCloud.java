package org.woadloom.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadloom.net.EventLoop;
import org.woadloom.sim.SimulatedStore;

/**
 * A simulated cloud: idempotent rent requests, boot times, a rate limit and a machine list that
 * lags behind.
 */
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

    /** Creates the agent of a machine that has booted. */
    interface AgentFactory {
        SoakAgent create(TaskStart.MachineInfo machine);

        /** The host and port at which the machine's agent accepts direct commands. */
        String address(String machine);
    }

    /** A rented machine; its agent is null while it boots. */
    private static final class RentedMachine {
        final TaskStart.MachineInfo info;
        SoakAgent agent;
        boolean failed;

        RentedMachine(TaskStart.MachineInfo info) {
            this.info = info;
        }
    }

    private final EventLoop loop;
    private final Random random;
    private final int capacity;
    private final AgentFactory agentFactory;
    private final Map<String, RentedMachine> machines = new LinkedHashMap<>();
    private final Map<String, List<Object>> machinesByClaim = new LinkedHashMap<>();
    private List<Object> listedMachines = List.of();
    private int createdCount;
    private double requestTokens;
    private long requestTokensMicros;

    SoakCloud(EventLoop loop, Random random, int capacity, AgentFactory agentFactory) {
        this.loop = loop;
        this.random = random;
        this.capacity = capacity;
        this.agentFactory = agentFactory;
    }

    void publishListPeriodically() {
        List<Object> snapshot = new ArrayList<>();
        machines.forEach((name, machine) -> snapshot.add(describe(machine)));
        int lagMicros = MIN_LIST_LAG_MICROS + random.nextInt(LIST_LAG_SPREAD_MICROS);
        loop.schedule(lagMicros, () -> listedMachines = snapshot);
        loop.schedule(SNAPSHOT_INTERVAL_MICROS, this::publishListPeriodically);
    }

    /** The agents of the machines that are up. */
    List<SoakAgent> agents() {
        return machines.values().stream()
                .filter(machine -> machine.agent != null && !machine.failed)
                .map(machine -> machine.agent)
                .toList();
    }

    void failMachine(SoakAgent agent) {
        machines.get(agent.machine().name()).failed = true;
        agent.terminate();
    }

    private Map<String, Object> describe(RentedMachine machine) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", machine.info.name());
        map.put("addr", agentFactory.address(machine.info.name()));
        map.put("hosttype", "m8");
        map.put("yard", machine.info.zone());
        map.put("reclaimable", machine.info.spot());
        boolean up = machine.agent != null;
        map.put("status", machine.failed ? "failed" : up ? "running" : "booting");
        map.put("heldS", 5.0);
        return map;
    }

    void handle(
            String method, String path, Map<String, Object> body, SimulatedStore.Answer answer) {
        if (!takeRequestToken()) {
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

    private boolean takeRequestToken() {
        long now = loop.nowMicros();
        double refilled = (now - requestTokensMicros) * REQUESTS_PER_SECOND / 1e6;
        requestTokens = Math.min(2 * REQUESTS_PER_SECOND, requestTokens + refilled);
        requestTokensMicros = now;
        if (requestTokens < 1) {
            return false;
        }
        requestTokens--;
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
        String lastName = queryParameter(path, "since");
        int pageSize = Integer.parseInt(queryParameter(path, "most"));
        List<Object> remaining =
                listedMachines.stream()
                        .filter(
                                item ->
                                        ((String) ((Map<?, ?>) item).get("uid")).compareTo(lastName)
                                                > 0)
                        .toList();
        boolean more = remaining.size() > pageSize;
        return Map.of("hosts", more ? remaining.subList(0, pageSize) : remaining, "more", more);
    }

    private static String queryParameter(String path, String name) {
        for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return "";
    }

    private void delete(Object host) {
        RentedMachine machine = machines.remove(host);
        if (machine != null && machine.agent != null) {
            machine.agent.terminate();
        }
    }

    private void rent(Map<String, Object> body, SimulatedStore.Answer answer) {
        String claim = (String) body.get("claim");
        List<Object> names = machinesByClaim.get(claim);
        if (names == null) {
            names = new ArrayList<>();
            for (long i = 0; i < (Long) body.get("count") && machines.size() < capacity; i++) {
                names.add(createMachine(body));
            }
            if (names.isEmpty()) {
                answer.answer(UNAVAILABLE, Map.of("error", "no capacity"));
                return;
            }
            machinesByClaim.put(claim, names);
        }
        answer.answer(OK, Map.of("hosts", names));
    }

    private String createMachine(Map<String, Object> body) {
        String name = String.format("host-%06d", ++createdCount);
        RentedMachine machine =
                new RentedMachine(
                        new TaskStart.MachineInfo(
                                name,
                                (String) body.get("yard"),
                                (Boolean) body.get("reclaimable")));
        machines.put(name, machine);
        int bootMicros = MIN_BOOT_MICROS + random.nextInt(BOOT_SPREAD_MICROS);
        loop.schedule(bootMicros, () -> bootUnlessDeleted(machine));
        return name;
    }

    @SuppressWarnings("ReferenceEquality") // Names are not reused.
    private void bootUnlessDeleted(RentedMachine machine) {
        if (machines.get(machine.info.name()) == machine) {
            machine.agent = agentFactory.create(machine.info);
            machine.agent.start();
        }
    }
}
