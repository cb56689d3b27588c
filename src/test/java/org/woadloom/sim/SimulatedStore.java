package org.woadloom.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreLimits;

/** The store, implemented in memory from the protocol. */
public final class SimulatedStore {
    /** Default page size: small, so that listings need several pages. */
    private static final int SMALL_PAGE_ENTRIES = 7;

    private static final int MAX_PAGE_ENTRIES = 1_000;

    private record Entry(Object value, long revision, long storeLease) {}

    private record Change(String path, Object value, long revision) {}

    private final SimulatedEventLoop loop;
    private ServiceSettings.Store limits;
    private double recentWrites;
    private long writesUpdatedMicros;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, long[]> leases = new LinkedHashMap<>();
    private final List<Runnable> watchers = new ArrayList<>();
    private long generation;
    private long lastLeaseId;
    private int pageEntries = SMALL_PAGE_ENTRIES;
    boolean down;

    public SimulatedStore(SimulatedEventLoop loop, ServiceSettings.Store limits) {
        this.loop = loop;
        this.limits = limits;
    }

    /** Returns pages with as many entries as the protocol allows. */
    public SimulatedStore withFullPages() {
        pageEntries = MAX_PAGE_ENTRIES;
        return this;
    }

    /** Receives the answer to a request. */
    public interface Answer {
        void answer(int status, Map<String, Object> body);
    }

    /** Creates a store client for a node without peers. */
    static StoreClient client(
            EventLoop loop, HttpTransport transport, ServiceSettings.Store limits, long seed) {
        ServiceSettings settings =
                NodeSettings.of("node", List.of(), List.of("a"), List.of(), limits);
        return new StoreClient(
                loop, transport, settings, new StoreLimits(limits), new Random(seed), served -> {});
    }

    public void setOutage(boolean begins) {
        down = begins;
        if (!begins) {
            // After an outage every lease has its full duration again.
            for (Map.Entry<Long, long[]> storeLease : new ArrayList<>(leases.entrySet())) {
                storeLease.getValue()[1] = loop.now() + storeLease.getValue()[0];
                expireLater(storeLease.getKey());
            }
            notifyWatchers();
        }
    }

    /** Applies the limits that were announced as the next ones. */
    void applyNextLimits() {
        limits = limits.next();
    }

    private boolean exceedsSizeLimits(List<?> changes) {
        for (Object item : changes) {
            if (Cbor.toJson(((Map<?, ?>) item).get("value")).length() > limits.valueBytes()) {
                return true;
            }
        }
        return changes.size() > limits.txnOps();
    }

    private boolean exceedsWriteRate(int changes) {
        recentWrites =
                Math.max(
                        0,
                        recentWrites
                                - (loop.now() - writesUpdatedMicros) / 1e6 * limits.writeRps());
        writesUpdatedMicros = loop.now();
        if (recentWrites + changes > limits.writeRps()) {
            return true;
        }
        recentWrites += changes;
        return false;
    }

    /** Stores a value at once, without regard to the limits. */
    public void put(String path, Map<String, Object> value) {
        generation++;
        entries.put(path, new Entry(value, generation, 0));
        changes.add(new Change(path, value, generation));
    }

    boolean hasKeyWithPrefix(String prefix) {
        return entries.ceilingKey(prefix) != null && entries.ceilingKey(prefix).startsWith(prefix);
    }

    /** Counts the values below the prefix: all of them, and those that match the predicate. */
    int[] count(String prefix, Predicate<Map<?, ?>> predicate) {
        int[] found = {0, 0};
        entries.subMap(prefix, prefix + Character.MAX_VALUE)
                .values()
                .forEach(
                        entry -> {
                            found[0]++;
                            found[1] += predicate.test((Map<?, ?>) entry.value) ? 1 : 0;
                        });
        return found;
    }

    Map<String, Object> value(String path) {
        Entry entry = entries.get(path);
        @SuppressWarnings("unchecked")
        Map<String, Object> value = entry == null ? null : (Map<String, Object>) entry.value;
        return value;
    }

    public void handle(String method, String path, Map<String, Object> body, Answer answer) {
        if (path.startsWith("/follow?")) {
            follow(path, loop.now() + Long.parseLong(parameter(path, "blockMs")) * 1000, answer);
        } else if (down) {
            answer.answer(503, Map.of("error", "trouble"));
        } else if (path.startsWith("/keys/")) {
            get(path.substring(6), answer);
        } else if (path.startsWith("/keys?")) {
            list(path, answer);
        } else if (path.equals("/txn")) {
            txn(body, answer);
        } else if (path.equals("/grants")) {
            long id = ++lastLeaseId;
            long life = (Long) body.get("lifeMs") * 1000;
            leases.put(id, new long[] {life, loop.now() + life});
            expireLater(id);
            answer.answer(200, Map.of("hold", id));
        } else if (path.endsWith("/renew")) {
            long[] storeLease = leases.get(Long.parseLong(path.split("/")[2]));
            if (storeLease == null) {
                answer.answer(404, Map.of());
            } else {
                storeLease[1] = loop.now() + storeLease[0];
                expireLater(Long.parseLong(path.split("/")[2]));
                answer.answer(200, Map.of());
            }
        } else {
            throw new IllegalStateException(method + " " + path);
        }
    }

    private void expireLater(long id) {
        loop.at(
                leases.get(id)[1],
                () -> {
                    long[] storeLease = leases.get(id);
                    if (storeLease == null || down || loop.now() < storeLease[1]) {
                        return;
                    }
                    leases.remove(id);
                    List<String> gone = new ArrayList<>();
                    entries.forEach(
                            (path, entry) -> {
                                if (entry.storeLease == id) {
                                    gone.add(path);
                                }
                            });
                    if (!gone.isEmpty()) {
                        generation++;
                        gone.forEach(this::delete);
                        notifyWatchers();
                    }
                });
    }

    private void delete(String path) {
        if (entries.remove(path) != null) {
            changes.add(new Change(path, null, generation));
        }
    }

    private void get(String path, Answer answer) {
        Entry entry = entries.get(path);
        if (entry == null) {
            answer.answer(404, Map.of("generation", generation));
        } else {
            answer.answer(200, item(path, entry));
        }
    }

    private static Map<String, Object> item(String path, Entry entry) {
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("path", path);
        item.put("value", entry.value);
        item.put("stamp", entry.revision);
        return item;
    }

    private static String parameter(String path, String name) {
        for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return "";
    }

    private void list(String path, Answer answer) {
        String prefix = parameter(path, "prefix");
        String since = parameter(path, "since");
        int most = Math.min(pageEntries, Integer.parseInt(parameter(path, "most")));
        List<Object> items = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Entry> entry :
                entries.tailMap(since.isEmpty() ? prefix : since, since.isEmpty()).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (items.size() == most) {
                more = true;
                break;
            }
            items.add(item(entry.getKey(), entry.getValue()));
        }
        answer.answer(200, Map.of("items", items, "more", more, "generation", generation));
    }

    private void txn(Map<String, Object> body, Answer answer) {
        if (exceedsWriteRate(((List<?>) body.get("then")).size())) {
            answer.answer(429, Map.of("error", "too many changes"));
            return;
        }
        if (exceedsSizeLimits((List<?>) body.get("then"))
                || ((List<?>) body.get("if")).size() > 4 * limits.txnOps()) {
            answer.answer(400, Map.of("error", "too large"));
            return;
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : (List<?>) body.get("if")) {
            Map<?, ?> condition = (Map<?, ?>) item;
            Entry entry = entries.get((String) condition.get("path"));
            if ((Long) condition.get("stamp") != (entry == null ? 0 : entry.revision)) {
                failed.add(condition.get("path"));
            }
        }
        for (Object item : (List<?>) body.get("then")) {
            if (((Map<?, ?>) item).get("hold") instanceof Long storeLease
                    && !leases.containsKey(storeLease)) {
                answer.answer(400, Map.of("error", "no such lease"));
                return;
            }
        }
        if (!failed.isEmpty()) {
            answer.answer(409, Map.of("failed", failed, "generation", generation));
            return;
        }
        generation++;
        for (Object item : (List<?>) body.get("then")) {
            Map<?, ?> change = (Map<?, ?>) item;
            if (change.get("put") instanceof String path) {
                entries.put(
                        path,
                        new Entry(
                                change.get("value"),
                                generation,
                                change.get("hold") instanceof Long storeLease ? storeLease : 0));
                changes.add(new Change(path, change.get("value"), generation));
            } else {
                delete((String) change.get("drop"));
            }
        }
        answer.answer(200, Map.of("generation", generation));
        notifyWatchers();
    }

    private void notifyWatchers() {
        List<Runnable> waiting = new ArrayList<>(watchers);
        watchers.clear();
        waiting.forEach(Runnable::run);
    }

    private void follow(String path, long until, Answer answer) {
        String prefix = parameter(path, "prefix");
        long since = Long.parseLong(parameter(path, "since"));
        List<Object> events = new ArrayList<>();
        int from = changes.size();
        while (from > 0 && changes.get(from - 1).revision > since) {
            from--;
        }
        for (Change change : changes.subList(from, changes.size())) {
            if (change.path.startsWith(prefix)) {
                Map<String, Object> event = new LinkedHashMap<>();
                event.put(change.value == null ? "drop" : "put", change.path);
                event.put("value", change.value);
                event.put("stamp", change.revision);
                events.add(event);
            }
        }
        if (!down && (!events.isEmpty() || loop.now() >= until)) {
            answer.answer(200, Map.of("generation", generation, "events", events));
            return;
        }
        boolean[] done = {false};
        Runnable retry =
                () -> {
                    if (!done[0]) {
                        done[0] = true;
                        follow(path, until, answer);
                    }
                };
        watchers.add(retry);
        if (loop.now() < until) {
            loop.at(until, retry);
        }
    }
}
