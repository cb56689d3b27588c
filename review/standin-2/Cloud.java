import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The cloud of the protocol page: it rents, lists and deletes machines. */
final class Cloud {
    private record Rented(Worker worker, double since, double upAt) {}

    final String address;
    private final Site site;
    private final Map<String, Integer> capacity;
    private final Map<String, List<Object>> claims = new HashMap<>();
    private final TreeMap<String, Rented> machines = new TreeMap<>();
    private final List<Worker> all = new ArrayList<>();
    private final List<String> nodes;
    private final List<String> labels;
    private int lastHost;
    int rentRequests;
    int refusals;

    /**
     * @param capacity how many more machines there are to rent, by "type zone spot"
     */
    Cloud(Site site, Map<String, Integer> capacity, List<String> nodes, List<String> labels)
            throws IOException {
        this.site = site;
        this.capacity = new HashMap<>(capacity);
        this.nodes = nodes;
        this.labels = labels;
        int port = Http.freePort();
        address = Http.HOST + ":" + port;
        Http.serve(port, this::handle);
    }

    /** A machine that is up when the case begins. */
    synchronized Worker existing(String type, String zone, boolean spot) throws IOException {
        Worker worker = create(type, zone, spot);
        machines.put(worker.host, new Rented(worker, Rec.now() - 300, Rec.now()));
        worker.start();
        return worker;
    }

    private Worker create(String type, String zone, boolean spot) throws IOException {
        String host = String.format("host-%06d", ++lastHost);
        Worker worker = new Worker(host, site.type(type), zone, spot, site, nodes, labels);
        all.add(worker);
        return worker;
    }

    /** Every worker that there was, also of machines that are gone. */
    synchronized List<Worker> everyWorker() {
        return List.copyOf(all);
    }

    private Http.Answer handle(String method, String path, String query, byte[] body)
            throws Exception {
        Thread.sleep(50);
        synchronized (this) {
            if (path.equals("/machine_types")) {
                return types();
            }
            if (method.equals("POST") && path.equals("/machines")) {
                return rent(Cbor.map(body));
            }
            if (method.equals("POST") && path.equals("/machines/delete")) {
                return delete((List<?>) Cbor.map(body).get("hosts"));
            }
            if (method.equals("GET") && path.equals("/machines")) {
                return list(query);
            }
        }
        return Http.Answer.of(400, Map.of("error", "malformed"));
    }

    private Http.Answer types() {
        List<Object> list = new ArrayList<>();
        for (Site.Type type : site.types) {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("name", type.name());
            map.put("vcpus", type.cpus());
            map.put("cards", 0.0);
            map.put("ramGb", type.ramGb());
            map.put("cacheGb", type.cacheGb());
            map.put("pullGbPerS", type.pullGbPerS());
            map.put("rate", type.rate());
            map.put("marketPrice", type.marketPrice());
            map.put("readyS", type.readyS());
            map.put("yards", new ArrayList<Object>(type.zones()));
            list.add(map);
        }
        return Http.Answer.of(200, Map.of("hosttypes", list));
    }

    private Http.Answer rent(Map<String, Object> body) throws IOException {
        String claim = (String) body.get("claim");
        if (claims.containsKey(claim)) {
            return Http.Answer.of(200, Map.of("hosts", claims.get(claim)));
        }
        rentRequests++;
        String kind = body.get("hosttype") + " " + body.get("yard") + " " + body.get("reclaimable");
        int left = capacity.getOrDefault(kind, 0);
        int count = Math.min(left, ((Number) body.get("count")).intValue());
        Rec.log("cloud asked for %s machines %s: gives %d", body.get("count"), kind, count);
        if (count == 0) {
            refusals++;
            return Http.Answer.of(503, Map.of("error", "no capacity"));
        }
        capacity.put(kind, left - count);
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Worker worker =
                    create(
                            (String) body.get("hosttype"),
                            (String) body.get("yard"),
                            (Boolean) body.get("reclaimable"));
            double boot = worker.type.readyS();
            machines.put(worker.host, new Rented(worker, Rec.now(), Rec.now() + boot));
            Main.TIMER.schedule(worker::start, (long) (boot * 1000), TimeUnit.MILLISECONDS);
            hosts.add(worker.host);
        }
        claims.put(claim, hosts);
        return Http.Answer.of(200, Map.of("hosts", hosts));
    }

    private Http.Answer delete(List<?> hosts) {
        Rec.log("cloud asked to delete %s", hosts);
        for (Object host : hosts) {
            Rented rented = machines.remove(host);
            if (rented != null) {
                Worker worker = rented.worker;
                worker.terminate();
                String kind = worker.type.name() + " " + worker.zone + " " + worker.reclaimable;
                capacity.merge(kind, 1, Integer::sum);
            }
        }
        return Http.Answer.of(200, Map.of());
    }

    /** A list that does not lag; the page allows a lag and asks for none. */
    private Http.Answer list(String query) {
        String since = "";
        int most = 500;
        for (String part : query == null ? new String[0] : query.split("&")) {
            if (part.startsWith("since=")) {
                since = part.substring(6);
            } else if (part.startsWith("most=")) {
                most = Integer.parseInt(part.substring(5));
            }
        }
        List<Object> list = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Rented> e : machines.tailMap(since, false).entrySet()) {
            if (list.size() == most) {
                more = true;
                break;
            }
            Rented rented = e.getValue();
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("uid", e.getKey());
            map.put("addr", rented.worker.address);
            map.put("hosttype", rented.worker.type.name());
            map.put("yard", rented.worker.zone);
            map.put("reclaimable", rented.worker.reclaimable);
            map.put("status", Rec.now() < rented.upAt ? "booting" : "running");
            map.put("heldS", Rec.now() - rented.since);
            list.add(map);
        }
        return Http.Answer.of(200, Map.of("hosts", list, "more", more));
    }
}
