package org.woadloom.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The cloud API, implemented from the protocol. Its list of machines lags by a few seconds. */
final class SimulatedCloud {
    static final int CAPACITY = 14;

    private final ClusterSimulation cluster;
    private final Random faultRandom;
    final Map<String, SimulatedAgent> machines = new LinkedHashMap<>();
    private final Map<String, String[]> booting = new LinkedHashMap<>();
    private final Map<String, List<Object>> hostsByRequestName = new LinkedHashMap<>();
    private List<Object> listedMachines = new ArrayList<>();
    private int rentedCount;
    int capacity = CAPACITY;
    boolean down;

    /** Percentage of rentals and deletions that are executed 2 to 20 s late and get no answer. */
    int latePercent;

    final List<String> rentedForFormerLeaders = new ArrayList<>();
    int deletedForFormerLeaders;

    /**
     * Until then machines boot within two seconds, some of them before their rental is answered.
     */
    long fastBootUntilMicros;

    SimulatedCloud(ClusterSimulation cluster, Random more) {
        this.cluster = cluster;
        this.faultRandom = more;
        refresh();
    }

    private void refresh() {
        List<Object> now = new ArrayList<>();
        for (Map.Entry<String, String[]> entry : booting.entrySet()) {
            now.add(item(entry.getKey(), entry.getValue(), "booting"));
        }
        for (SimulatedAgent agent : machines.values()) {
            now.add(
                    item(
                            agent.host,
                            new String[] {agent.machineType, agent.zone, "" + agent.spot},
                            agent.failed ? "failed" : "running"));
        }
        cluster.loop.after(
                1_000_000 + cluster.random.nextInt(3_000_000), () -> listedMachines = now);
        cluster.loop.after(1_000_000, this::refresh);
    }

    private static Map<String, Object> item(String host, String[] kind, String status) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", host);
        map.put("addr", host + ":9000");
        map.put("hosttype", kind[0]);
        map.put("yard", kind[1]);
        map.put("reclaimable", Boolean.parseBoolean(kind[2]));
        map.put("status", status);
        map.put("heldS", 5.0);
        return map;
    }

    void handle(
            String method, String path, Map<String, Object> body, SimulatedStore.Answer answer) {
        if (method.equals("POST") && latePercent > 0 && faultRandom.nextInt(100) < latePercent) {
            long term = cluster.term();
            cluster.loop.after(
                    2_000_000 + faultRandom.nextInt(18_000_000),
                    () -> executeLate(path, body, term));
        } else {
            execute(method, path, body, answer);
        }
    }

    private void executeLate(String path, Map<String, Object> body, long term) {
        int before = machines.size();
        execute(
                "POST",
                path,
                body,
                (status, hosts) -> {
                    if (status == 200
                            && cluster.term() != term
                            && hosts.get("hosts") instanceof List<?> rented) {
                        rented.stream()
                                .filter(booting::containsKey)
                                .forEach(host -> rentedForFormerLeaders.add((String) host));
                    }
                });
        deletedForFormerLeaders += cluster.term() != term ? before - machines.size() : 0;
    }

    private void execute(
            String method, String path, Map<String, Object> body, SimulatedStore.Answer answer) {
        if (down) {
            answer.answer(503, Map.of("error", "trouble"));
        } else if (path.equals("/machine_types")) {
            answer.answer(
                    200,
                    Map.of(
                            "hosttypes",
                            List.of(type("small", 8.0, 0.5), type("large", 32.0, 2.0))));
        } else if (path.equals("/machines/delete")) {
            for (Object host : (List<?>) body.get("hosts")) {
                booting.remove(host);
                SimulatedAgent agent = machines.remove(host);
                if (agent != null) {
                    agent.fail();
                }
            }
            answer.answer(200, Map.of());
        } else if (method.equals("GET")) {
            answer.answer(200, Map.of("hosts", listedMachines, "more", false));
        } else {
            rent(body, answer);
        }
    }

    int rented() {
        return rentedCount;
    }

    private Map<String, Object> type(String name, double cpus, double rate) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", name);
        map.put("vcpus", cpus);
        map.put("cards", 0.0);
        map.put("ramGb", cpus * 4);
        map.put("cacheGb", 50.0);
        map.put("pullGbPerS", 1.0);
        map.put("rate", rate);
        map.put("marketPrice", rate / 4);
        map.put("readyS", 8.0);
        map.put("yards", cluster.settings.zones());
        return map;
    }

    private void rent(Map<String, Object> body, SimulatedStore.Answer answer) {
        String claim = (String) body.get("claim");
        if (hostsByRequestName.containsKey(claim)) {
            answer.answer(200, Map.of("hosts", hostsByRequestName.get(claim)));
            return;
        }
        List<Object> hosts = new ArrayList<>();
        boolean quick = cluster.loop.now() < fastBootUntilMicros;
        for (long i = 0;
                i < (Long) body.get("count") && machines.size() + booting.size() < capacity;
                i++) {
            String host = String.format("host-%06d", rentedCount++);
            hosts.add(host);
            booting.put(
                    host,
                    new String[] {
                        (String) body.get("hosttype"),
                        (String) body.get("yard"),
                        "" + body.get("reclaimable")
                    });
            if (cluster.random.nextInt(12) > 0) {
                long usual = 2_000_000 + cluster.random.nextInt(12_000_000);
                cluster.loop.after(
                        quick ? 300_000 + faultRandom.nextInt(1_700_000) : usual, () -> boot(host));
                cluster.fastBoots += quick ? 1 : 0;
            }
        }
        if (hosts.isEmpty()) {
            answer.answer(503, Map.of("error", "no capacity"));
            return;
        }
        hostsByRequestName.put(claim, hosts);
        if (quick) {
            cluster.loop.after(
                    faultRandom.nextInt(2_500_000),
                    () -> answer.answer(200, Map.of("hosts", hosts)));
            return;
        }
        answer.answer(200, Map.of("hosts", hosts));
    }

    private void boot(String host) {
        String[] kind = booting.remove(host);
        if (kind != null) {
            machines.put(
                    host,
                    new SimulatedAgent(
                            cluster,
                            host,
                            kind[0],
                            kind[1],
                            Boolean.parseBoolean(kind[2]),
                            kind[0].equals("small") ? 8 : 32));
        }
    }
}
