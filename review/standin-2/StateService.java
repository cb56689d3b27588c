import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The state service of the protocol page: keys, transactions, grants, watches and its limits. */
final class StateService {
    private record Entry(Map<String, Object> value, long stamp, long hold) {}

    private record Event(String key, Map<String, Object> value, long stamp) {}

    private static final class Grant {
        long lifeMs;
        long untilNanos;
    }

    private static final long PLACEMENT_PAUSE_MICROS = 2_000;

    final String address;
    private final Site site;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private long generation;
    private long lastGrant;
    private double requestTokens;
    private double changeTokens;
    private long tokensNanos = System.nanoTime();
    int refusedByRate;

    /** Run once, after the answer to the next change of a job that names an attempt of it. */
    volatile Runnable afterPlacement;

    StateService(Site site) throws IOException {
        this.site = site;
        requestTokens = site.stateRps;
        changeTokens = site.stateWriteRps;
        int port = Http.freePort();
        address = Http.HOST + ":" + port;
        Http.serve(port, this::handle);
    }

    private Http.Answer handle(String method, String path, String query, byte[] body)
            throws Exception {
        Thread.sleep(2);
        Http.Answer answer = answer(method, path, query, body);
        Runnable armed = afterPlacement;
        if (armed != null && answer.status() == 200 && path.equals("/txn") && places(body)) {
            afterPlacement = null;
            Main.TIMER.schedule(armed, PLACEMENT_PAUSE_MICROS, TimeUnit.MICROSECONDS);
        }
        return answer;
    }

    private static boolean places(byte[] body) {
        for (Object o : Cbor.map(body).get("then") instanceof List<?> ops ? ops : List.of()) {
            Map<?, ?> op = (Map<?, ?>) o;
            if (op.get("put") instanceof String key
                    && key.startsWith("job/")
                    && op.get("value") instanceof Map<?, ?> value
                    && value.get("version") instanceof Long version
                    && version == 1) {
                return true;
            }
        }
        return false;
    }

    private Http.Answer answer(String method, String path, String query, byte[] body)
            throws Exception {
        synchronized (this) {
            expireGrants();
            if (!takeTokens(method, path, body)) {
                refusedByRate++;
                return Http.Answer.of(429, Map.of("error", "too many requests"));
            }
        }
        if (path.equals("/follow")) {
            return follow(params(query));
        }
        synchronized (this) {
            if (method.equals("GET") && path.equals("/keys")) {
                return page(params(query));
            }
            if (method.equals("GET") && path.startsWith("/keys/")) {
                return get(path.substring("/keys/".length()));
            }
            if (method.equals("POST") && path.equals("/txn")) {
                return txn(Cbor.map(body));
            }
            if (path.startsWith("/grants")) {
                return grant(method, path, body);
            }
        }
        return Http.Answer.of(400, Map.of("error", "malformed"));
    }

    private boolean takeTokens(String method, String path, byte[] body) {
        long now = System.nanoTime();
        double elapsed = (now - tokensNanos) / 1e9;
        tokensNanos = now;
        requestTokens = Math.min(site.stateRps, requestTokens + elapsed * site.stateRps);
        changeTokens = Math.min(site.stateWriteRps, changeTokens + elapsed * site.stateWriteRps);
        int changes =
                path.equals("/txn") && Cbor.map(body).get("then") instanceof List<?> ops
                        ? ops.size()
                        : 0;
        if (requestTokens < 1 || changeTokens < changes) {
            return false;
        }
        requestTokens--;
        changeTokens -= changes;
        return true;
    }

    private static Map<String, String> params(String query) {
        Map<String, String> map = new HashMap<>();
        for (String part : query == null ? new String[0] : query.split("&")) {
            int eq = part.indexOf('=');
            if (eq > 0) {
                map.put(part.substring(0, eq), part.substring(eq + 1));
            }
        }
        return map;
    }

    private Http.Answer get(String key) {
        Entry entry = keys.get(key);
        return entry == null
                ? Http.Answer.of(404, Map.of("generation", generation))
                : Http.Answer.of(200, item(key, entry));
    }

    private static Map<String, Object> item(String key, Entry entry) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("path", key);
        map.put("value", entry.value);
        map.put("stamp", entry.stamp);
        map.put("hold", entry.hold == 0 ? null : entry.hold);
        return map;
    }

    private Http.Answer page(Map<String, String> params) {
        String prefix = params.getOrDefault("prefix", "");
        String since = params.getOrDefault("since", "");
        int most = Math.min(1000, Integer.parseInt(params.getOrDefault("most", "1000")));
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> e : keys.tailMap(prefix).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (e.getKey().compareTo(since) <= 0) {
                continue;
            }
            Map<String, Object> item = item(e.getKey(), e.getValue());
            bytes += Cbor.jsonSize(item);
            if (items.size() == most || bytes > 512 * 1024) {
                more = true;
                break;
            }
            items.add(item);
        }
        return Http.Answer.of(200, Map.of("items", items, "more", more, "generation", generation));
    }

    @SuppressWarnings("unchecked")
    private Http.Answer txn(Map<String, Object> body) {
        List<?> conditions = body.get("if") instanceof List<?> list ? list : List.of();
        List<?> ops = body.get("then") instanceof List<?> list ? list : List.of();
        if (ops.size() > site.stateTxnOps
                || conditions.size() > 4 * site.stateTxnOps
                || Cbor.jsonSize(body) > 64 * 1024) {
            return Http.Answer.of(400, Map.of("error", "too large"));
        }
        for (Object o : ops) {
            Map<String, Object> op = (Map<String, Object>) o;
            if (op.get("hold") instanceof Long hold && !grants.containsKey(hold)) {
                return Http.Answer.of(400, Map.of("error", "no such lease"));
            }
            if (Cbor.jsonSize(op.get("value")) > site.stateValueKb * 1024) {
                return Http.Answer.of(400, Map.of("error", "value too large"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object o : conditions) {
            Map<String, Object> condition = (Map<String, Object>) o;
            Entry entry = keys.get((String) condition.get("path"));
            if ((entry == null ? 0 : entry.stamp) != (Long) condition.get("stamp")) {
                failed.add(condition.get("path"));
            }
        }
        if (!failed.isEmpty()) {
            return Http.Answer.of(409, Map.of("failed", failed, "generation", generation));
        }
        if (!ops.isEmpty()) {
            generation++;
        }
        for (Object o : ops) {
            Map<String, Object> op = (Map<String, Object>) o;
            if (op.get("put") instanceof String key) {
                Map<String, Object> value = (Map<String, Object>) op.get("value");
                long hold = op.get("hold") instanceof Long h ? h : 0;
                keys.put(key, new Entry(value, generation, hold));
                remember(new Event(key, value, generation));
            } else if (keys.remove((String) op.get("drop")) != null) {
                remember(new Event((String) op.get("drop"), null, generation));
            }
        }
        notifyAll();
        return Http.Answer.of(200, Map.of("generation", generation));
    }

    private void remember(Event event) {
        history.addLast(event);
        if (history.size() > 10_000) {
            history.removeFirst();
        }
    }

    private Http.Answer grant(String method, String path, byte[] body) {
        if (method.equals("POST") && path.equals("/grants")) {
            Grant grant = new Grant();
            grant.lifeMs = ((Number) Cbor.map(body).get("lifeMs")).longValue();
            grant.untilNanos = System.nanoTime() + grant.lifeMs * 1_000_000;
            grants.put(++lastGrant, grant);
            return Http.Answer.of(200, Map.of("hold", lastGrant));
        }
        String[] parts = path.split("/");
        long id = Long.parseLong(parts[2]);
        Grant grant = grants.get(id);
        if (grant == null) {
            return Http.Answer.of(404, Map.of("error", "no such lease"));
        }
        if (method.equals("DELETE")) {
            grant.untilNanos = System.nanoTime() - 1;
            expireGrants();
        } else {
            grant.untilNanos = System.nanoTime() + grant.lifeMs * 1_000_000;
        }
        return Http.Answer.of(200, Map.of("hold", id));
    }

    private synchronized void expireGrants() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        grants.forEach(
                (id, grant) -> {
                    if (now - grant.untilNanos > 0) {
                        ended.add(id);
                    }
                });
        for (long id : ended) {
            grants.remove(id);
            List<String> attached = new ArrayList<>();
            keys.forEach(
                    (key, entry) -> {
                        if (entry.hold == id) {
                            attached.add(key);
                        }
                    });
            if (!attached.isEmpty()) {
                generation++;
                attached.forEach(
                        key -> {
                            keys.remove(key);
                            remember(new Event(key, null, generation));
                        });
                notifyAll();
            }
        }
    }

    private Http.Answer follow(Map<String, String> params) throws InterruptedException {
        String prefix = params.getOrDefault("prefix", "");
        long since = Long.parseLong(params.getOrDefault("since", "0"));
        long blockMs = Long.parseLong(params.getOrDefault("blockMs", "0"));
        long until = System.nanoTime() + blockMs * 1_000_000;
        synchronized (this) {
            while (true) {
                expireGrants();
                if (history.size() == 10_000 && history.peekFirst().stamp > since + 1) {
                    return Http.Answer.of(410, Map.of("generation", generation));
                }
                List<Object> events = new ArrayList<>();
                for (Event event : history) {
                    if (event.stamp > since && event.key.startsWith(prefix)) {
                        Map<String, Object> map = new LinkedHashMap<>();
                        map.put(event.value == null ? "drop" : "put", event.key);
                        if (event.value != null) {
                            map.put("value", event.value);
                        }
                        map.put("stamp", event.stamp);
                        events.add(map);
                    }
                }
                long leftMs = (until - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || leftMs <= 0) {
                    return Http.Answer.of(200, Map.of("generation", generation, "events", events));
                }
                wait(Math.min(leftMs, 50));
            }
        }
    }
}
