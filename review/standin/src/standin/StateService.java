package standin;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.woadloom.protocol.Cbor;

/** The state service of the protocol page, with its limits. It has one port for each node. */
public final class StateService {
    private record Entry(Object value, long stamp, long hold) {}

    private record Change(String key, Object value, long stamp) {}

    private static final class Grant {
        final long lifeMillis;
        long endsNanos;

        Grant(long lifeMillis) {
            this.lifeMillis = lifeMillis;
        }
    }

    private static final class Bucket {
        final double perSecond;
        double tokens;
        long at = System.nanoTime();

        Bucket(double perSecond) {
            this.perSecond = perSecond;
            tokens = perSecond;
        }

        boolean take(int count) {
            long now = System.nanoTime();
            tokens = Math.min(perSecond, tokens + (now - at) / 1e9 * perSecond);
            at = now;
            if (tokens < count) {
                return false;
            }
            tokens -= count;
            return true;
        }
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int txnOps;
    private final List<Integer> ports = new ArrayList<>();
    private long generation = 100;
    private long droppedUpTo;
    private long lastGrant = 6;
    private final int latencyMillis;

    public StateService(
            int nodes, double rps, double writeRps, double valueKb, int txnOps, int latencyMillis)
            throws IOException {
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        valueBytes = (int) (valueKb * 1024);
        this.txnOps = txnOps;
        this.latencyMillis = latencyMillis;
        for (int i = 0; i < nodes; i++) {
            int port = Http.freePort();
            ports.add(port);
            Http.serve(port, this::handle);
        }
        Thread expiry =
                new Thread(
                        () -> {
                            while (true) {
                                expire();
                                try {
                                    Thread.sleep(20);
                                } catch (InterruptedException e) {
                                    return;
                                }
                            }
                        });
        expiry.setDaemon(true);
        expiry.start();
    }

    public String address(int node) {
        return "127.0.0.1:" + ports.get(node);
    }

    private static void renew(Grant grant) {
        grant.endsNanos = System.nanoTime() + grant.lifeMillis * 1_000_000L;
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        grants.forEach(
                (id, grant) -> {
                    if (now > grant.endsNanos) {
                        ended.add(id);
                    }
                });
        ended.forEach(this::end);
    }

    private void end(long id) {
        grants.remove(id);
        List<String> keys = new ArrayList<>();
        entries.forEach(
                (key, entry) -> {
                    if (entry.hold == id) {
                        keys.add(key);
                    }
                });
        if (!keys.isEmpty()) {
            generation++;
            keys.forEach(key -> apply(key, null, 0));
            notifyAll();
        }
    }

    private void apply(String key, Object value, long hold) {
        if (value == null) {
            if (entries.remove(key) == null) {
                return;
            }
        } else {
            entries.put(key, new Entry(value, generation, hold));
        }
        changes.add(new Change(key, value, generation));
        if (changes.size() > 10_000) {
            droppedUpTo = changes.poll().stamp;
        }
    }

    private static Http.Answer error(int status, String text) {
        return Http.answer(status, Http.map("error", text));
    }

    private Http.Answer handle(
            String method, String path, Map<String, String> query, Map<String, Object> body)
            throws Exception {
        if (latencyMillis > 0 && !path.equals("/follow")) {
            Thread.sleep(latencyMillis);
        }
        synchronized (this) {
            if (!requests.take(1)) {
                return error(429, "too many requests");
            }
            if (path.equals("/follow")) {
                return follow(query);
            } else if (path.equals("/txn")) {
                return txn(body);
            } else if (path.equals("/grants")) {
                Grant grant = new Grant((Long) body.get("lifeMs"));
                renew(grant);
                grants.put(++lastGrant, grant);
                return Http.answer(200, Http.map("hold", lastGrant));
            } else if (path.startsWith("/grants/")) {
                long id = Long.parseLong(path.split("/")[2]);
                Grant grant = grants.get(id);
                if (grant == null) {
                    return error(404, "no such lease");
                }
                if (method.equals("DELETE")) {
                    end(id);
                } else {
                    renew(grant);
                }
                return Http.answer(200, Http.map("hold", id));
            } else if (path.equals("/keys")) {
                return list(query);
            } else if (path.startsWith("/keys/")) {
                String key = path.substring("/keys/".length());
                Entry entry = entries.get(key);
                if (entry == null) {
                    return Http.answer(404, Http.map("generation", generation));
                }
                Map<String, Object> answer =
                        Http.map("path", key, "value", entry.value, "stamp", entry.stamp);
                if (entry.hold != 0) {
                    answer.put("hold", entry.hold);
                }
                return Http.answer(200, answer);
            }
            return error(400, "malformed");
        }
    }

    private Http.Answer list(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String since = query.get("since");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> item :
                entries.tailMap(since == null ? prefix : since, since == null).entrySet()) {
            if (!item.getKey().startsWith(prefix)) {
                if (item.getKey().compareTo(prefix) > 0) {
                    break;
                }
                continue;
            }
            int size = Cbor.maxJsonSize(item.getValue().value);
            if (items.size() == most || bytes + size > 500_000) {
                more = true;
                break;
            }
            bytes += size + 100;
            items.add(
                    Http.map(
                            "path", item.getKey(),
                            "value", item.getValue().value,
                            "stamp", item.getValue().stamp));
        }
        return Http.answer(200, Http.map("items", items, "more", more, "generation", generation));
    }

    private Http.Answer txn(Map<String, Object> body) {
        List<?> conditions = body.get("if") instanceof List<?> list ? list : List.of();
        List<?> then = body.get("then") instanceof List<?> list ? list : List.of();
        if (then.size() > txnOps || conditions.size() > 4 * txnOps
                || Cbor.maxJsonSize(body) > 64 * 1024) {
            return error(400, "too large");
        }
        for (Object item : then) {
            Map<?, ?> change = (Map<?, ?>) item;
            if (change.get("put") != null && Cbor.maxJsonSize(change.get("value")) > valueBytes) {
                return error(400, "value too large");
            }
        }
        if (!then.isEmpty() && !writes.take(then.size())) {
            return error(429, "too many changes");
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : conditions) {
            Map<?, ?> condition = (Map<?, ?>) item;
            Entry entry = entries.get((String) condition.get("path"));
            if (((Long) condition.get("stamp")) != (entry == null ? 0 : entry.stamp)) {
                failed.add(condition.get("path"));
            }
        }
        for (Object item : then) {
            Object hold = ((Map<?, ?>) item).get("hold");
            if (hold != null && !grants.containsKey((Long) hold)) {
                return error(400, "no such lease");
            }
        }
        if (!failed.isEmpty()) {
            return Http.answer(409, Http.map("failed", failed, "generation", generation));
        }
        if (!then.isEmpty()) {
            generation++;
            for (Object item : then) {
                Map<?, ?> change = (Map<?, ?>) item;
                if (change.get("put") != null) {
                    Object hold = change.get("hold");
                    apply(
                            (String) change.get("put"),
                            change.get("value"),
                            hold == null ? 0 : (Long) hold);
                } else {
                    apply((String) change.get("drop"), null, 0);
                }
            }
            notifyAll();
        }
        return Http.answer(200, Http.map("generation", generation));
    }

    private Http.Answer follow(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long since = Long.parseLong(query.get("since"));
        long ends =
                System.nanoTime()
                        + Math.min(60_000, Long.parseLong(query.getOrDefault("blockMs", "0")))
                                * 1_000_000L;
        while (true) {
            if (since < droppedUpTo) {
                return error(410, "too old");
            }
            List<Object> events = new ArrayList<>();
            for (Change change : changes) {
                if (change.stamp > since && change.key.startsWith(prefix)) {
                    Map<String, Object> event = new LinkedHashMap<>();
                    if (change.value == null) {
                        event.put("drop", change.key);
                    } else {
                        event.put("put", change.key);
                        event.put("value", change.value);
                    }
                    event.put("stamp", change.stamp);
                    events.add(event);
                }
            }
            if (!events.isEmpty() || System.nanoTime() >= ends) {
                return Http.answer(200, Http.map("generation", generation, "events", events));
            }
            wait(Math.max(1, Math.min(200, (ends - System.nanoTime()) / 1_000_000)));
        }
    }
}
