package org.woadloom.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;

/**
 * The state service's protocol. A {@link RequestScheduler} says which request is sent next, under
 * rates that stay below the service's limits; a 429 or 503 holds everything but the most urgent
 * back for a moment, with jitter.
 *
 * <p>Single answers get lost while the service goes on serving. A request that later ones have
 * overtaken holds up nobody, and says nothing about the service.
 */
public final class StoreClient {
    /** How much a request matters; {@link RateShare} says what each gets while others wait. */
    public enum RequestPriority {
        /**
         * Elections, renewals of the leader's key and proofs of leadership: before everything else.
         */
        CONTROL(null),
        /**
         * A user's cancellation, which goes before other users' requests: it frees what they wait
         * for.
         */
        CANCELLATION(RateShare.USERS),
        /** A user waits for it. */
        USER(RateShare.USERS),
        URGENT(RateShare.URGENT),
        NORMAL(RateShare.NORMAL),
        BACKGROUND(RateShare.BACKGROUND);

        private final RateShare share;

        RequestPriority(RateShare share) {
            this.share = share;
        }

        RateShare share() {
            return share;
        }

        boolean isPreferred() {
            return this == CANCELLATION;
        }
    }

    public enum Result {
        OK,
        NOT_FOUND,
        CONFLICT,
        BAD,
        UNAVAILABLE,
        UNKNOWN
    }

    /** One key with its value and the stamp of its last change. */
    public record Entry(String path, Map<String, Object> value, long revision) {}

    /** A condition of a transaction: the key's stamp, 0 where it must not exist. */
    public record Condition(String path, long revision) {}

    /** A change of a transaction: a put, or a drop where the value is null. */
    public record Change(String path, Map<String, Object> value, long storeLease) {
        public static Change put(String path, Map<String, Object> value) {
            return new Change(path, value, 0);
        }

        public static Change drop(String path) {
            return new Change(path, null, 0);
        }

        Map<String, Object> toMap() {
            Map<String, Object> map = new LinkedHashMap<>();
            if (value == null) {
                map.put("drop", path);
            } else {
                map.put("put", path);
                map.put("value", value);
                if (storeLease != 0) {
                    map.put("hold", storeLease);
                }
            }
            return map;
        }
    }

    /** An event of a watch; the value is null where the key was dropped. */
    public record Event(String path, Map<String, Object> value, long revision) {}

    /** Hears whether the service can be reached. */
    public interface HealthListener {
        /**
         * @param served false for 503 or no answer
         */
        void onAnswer(boolean served);
    }

    public interface EntryCallback {
        void onEntry(Result result, Entry entry, long storeRevision);
    }

    public interface ListCallback {
        void onEntries(Result result, List<Entry> entries, long storeRevision);
    }

    public interface TxnCallback {
        void onResult(Result result, long storeRevision, List<String> failed);
    }

    public interface WatchCallback {
        /** {@code NOT_FOUND} says that {@code since} is too old. */
        void onEvents(Result result, List<Event> events, long storeRevision);
    }

    public interface LeaseCallback {
        void onLease(Result result, long storeLease);
    }

    private static final int MAX_IN_FLIGHT = 12;

    /** With those that most likely get no answer any more. */
    private static final int MAX_UNANSWERED = 36;

    /** Stands for a request that may wait for its turn as long as it takes. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    /** Places in flight for control requests alone: others may hang until their time-out. */
    private static final int CONTROL_IN_FLIGHT = 6;

    /**
     * Entries of a list's page: a takeover reads 12,000 jobs in 24 pages, one after another. The
     * store gives at most 1,000, or 512 KiB, which would all be on the heap together.
     */
    private static final int PAGE_ENTRIES = 500;

    private static final long TIMEOUT_MICROS = 2_000_000;
    private static final long WATCH_GRACE_MICROS = 2_000_000;

    /** Most answers take less than 10 ms, and now and then a few hundred. */
    private static final long OVERDUE_MICROS = 400_000;

    // All nodes share the service's limits. The leader writes most; reads are for users, whom every
    // node serves.
    private static final double LEADER_WRITES = 0.75;
    private static final double OTHERS_WRITES = 0.3;
    private static final double LEADER_REQUESTS = 0.5;
    private static final double OTHERS_REQUESTS = 0.6;

    private final EventLoop loop;
    private final HttpTransport transport;
    private final Random random;
    private final String address;
    private final StoreLimits limits;
    private boolean isLeader;
    private final int otherNodes;
    private final RequestScheduler<Pending> scheduler = new RequestScheduler<>();
    private final InFlightRequests inFlight = new InFlightRequests();
    private long heldUntilMicros;

    /** When it looks again by itself, {@link Long#MAX_VALUE} for never. */
    private long wakeMicros = Long.MAX_VALUE;

    private long failures;
    private long shed;
    private boolean isRefusing;
    private final HealthListener health;

    /**
     * @param overdue is run when there is no answer after a while; null for most requests
     */
    private record Pending(
            String method,
            String path,
            byte[] body,
            int writeCount,
            long timeoutMicros,
            HttpTransport.Callback callback,
            Runnable overdue,
            boolean[] sent) {
        Pending(
                String method,
                String path,
                byte[] body,
                int writeCount,
                long timeoutMicros,
                HttpTransport.Callback callback,
                Runnable overdue) {
            this(method, path, body, writeCount, timeoutMicros, callback, overdue, new boolean[1]);
        }

        Pending(
                String method,
                String path,
                byte[] body,
                int writeCount,
                long timeoutMicros,
                HttpTransport.Callback callback) {
            this(method, path, body, writeCount, timeoutMicros, callback, null);
        }
    }

    public StoreClient(
            EventLoop loop,
            HttpTransport transport,
            ServiceSettings settings,
            StoreLimits limits,
            Random random,
            HealthListener health) {
        this.loop = loop;
        this.transport = transport;
        this.random = random;
        this.health = health;
        this.address = settings.storeAddress();
        this.limits = limits;
        this.otherNodes = Math.max(1, settings.peers().size());
        setLeader(false);
    }

    /**
     * Sets this node's part of the service's limits: what one node leaves is there for the others.
     */
    public void setLeader(boolean leads) {
        this.isLeader = leads;
        updateRates(loop.nowMicros());
    }

    /** How many changes a second this node may make now. */
    public double writesPerSecond() {
        return limits.writeRate(loop.nowMicros())
                * (isLeader ? LEADER_WRITES : OTHERS_WRITES / otherNodes);
    }

    private void updateRates(long now) {
        double requestsPerSecond =
                limits.requestRate(now)
                        * (isLeader ? LEADER_REQUESTS : OTHERS_REQUESTS / otherNodes);
        scheduler.rates(now, requestsPerSecond, writesPerSecond());
    }

    /** Answers of the kind 429 or 503, or none at all, counted for the metrics. */
    public long failures() {
        return failures;
    }

    /**
     * True if the service, when it last answered, refused to serve. Reads of changes then hang
     * instead of being refused.
     */
    public boolean isRefusing() {
        return isRefusing;
    }

    /**
     * Requests that were not sent, as whoever had asked for them would not have waited for so long.
     */
    public long shed() {
        return shed;
    }

    public void get(RequestPriority urgency, String key, EntryCallback callback) {
        get(urgency, key, NO_DEADLINE, callback);
    }

    /**
     * @param deadlineMicros the read is not sent any more after this moment, and not queued if it
     *     can't be sent by then
     */
    public void get(
            RequestPriority urgency, String key, long deadlineMicros, EntryCallback callback) {
        submit(
                urgency,
                deadlineMicros,
                new Pending(
                        "GET",
                        "/keys/" + key,
                        null,
                        0,
                        TIMEOUT_MICROS,
                        (status, body) -> {
                            if (status == 200) {
                                parse(
                                        body,
                                        map -> callback.onEntry(Result.OK, entry(map), 0),
                                        () -> callback.onEntry(Result.UNKNOWN, null, 0));
                            } else if (status == 404) {
                                parse(
                                        body,
                                        map ->
                                                callback.onEntry(
                                                        Result.NOT_FOUND,
                                                        null,
                                                        new Fields(map).integer("generation")),
                                        () -> callback.onEntry(Result.UNKNOWN, null, 0));
                            } else {
                                callback.onEntry(failure(status), null, 0);
                            }
                        }));
    }

    /** Reads all keys with the prefix, page by page; the generation is that of the first page. */
    public void list(RequestPriority urgency, String prefix, ListCallback callback) {
        listPage(urgency, prefix, null, new ArrayList<>(), -1, callback);
    }

    private void listPage(
            RequestPriority urgency,
            String prefix,
            String since,
            List<Entry> found,
            long storeRevision,
            ListCallback callback) {
        String path =
                "/keys?prefix="
                        + prefix
                        + (since == null ? "" : "&since=" + since)
                        + "&most="
                        + PAGE_ENTRIES;
        submit(
                urgency,
                new Pending(
                        "GET",
                        path,
                        null,
                        0,
                        TIMEOUT_MICROS * 2,
                        (status, body) -> {
                            if (status != 200) {
                                callback.onEntries(failure(status), List.of(), 0);
                                return;
                            }
                            parse(
                                    body,
                                    map -> {
                                        Fields f = new Fields(map);
                                        for (Object item : f.list("items")) {
                                            found.add(entry(itemMap(item)));
                                        }
                                        // Changes made after the first page are seen by following
                                        // from its generation.
                                        long first =
                                                storeRevision < 0
                                                        ? f.integer("generation")
                                                        : storeRevision;
                                        if (f.flagOr("more", false) && !found.isEmpty()) {
                                            listPage(
                                                    urgency,
                                                    prefix,
                                                    found.get(found.size() - 1).path(),
                                                    found,
                                                    first,
                                                    callback);
                                        } else {
                                            callback.onEntries(Result.OK, found, first);
                                        }
                                    },
                                    () -> callback.onEntries(Result.UNKNOWN, List.of(), 0));
                        }));
    }

    public void txn(
            RequestPriority urgency,
            List<Condition> conditions,
            List<Change> changes,
            TxnCallback callback) {
        txn(urgency, NO_DEADLINE, conditions, changes, callback);
    }

    /**
     * @param deadlineMicros it is not sent any more after this moment, and not queued if it can't
     *     be sent by then
     */
    public void txn(
            RequestPriority urgency,
            long deadlineMicros,
            List<Condition> conditions,
            List<Change> changes,
            TxnCallback callback) {
        txn(urgency, deadlineMicros, conditions, changes, callback, null);
    }

    /**
     * The same, where the first of the changes that puts the given key has a value that nobody else
     * ever writes there: when the answer is late the key is read, and the value shows that the
     * transaction was carried out. That it is not there shows nothing, as it may be carried out
     * still.
     */
    public void txn(
            RequestPriority urgency,
            List<Condition> conditions,
            List<Change> changes,
            String proof,
            TxnCallback callback) {
        UnansweredTransaction unanswered =
                new UnansweredTransaction(this, urgency, conditions, changes, proof, callback);
        txn(urgency, NO_DEADLINE, conditions, changes, unanswered, unanswered::checkProof);
    }

    private void txn(
            RequestPriority urgency,
            long deadlineMicros,
            List<Condition> conditions,
            List<Change> changes,
            TxnCallback callback,
            Runnable overdue) {
        List<Object> ifs = new ArrayList<>();
        for (Condition condition : conditions) {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("path", condition.path());
            map.put("stamp", condition.revision());
            ifs.add(map);
        }
        List<Object> thens = new ArrayList<>();
        for (Change change : changes) {
            thens.add(change.toMap());
        }
        Map<String, Object> request = new LinkedHashMap<>();
        request.put("if", ifs);
        request.put("then", thens);
        submit(
                urgency,
                deadlineMicros,
                new Pending(
                        "POST",
                        "/txn",
                        Cbor.encode(request),
                        changes.size(),
                        TIMEOUT_MICROS,
                        (status, body) -> {
                            if (status == 200) {
                                parse(
                                        body,
                                        map ->
                                                callback.onResult(
                                                        Result.OK,
                                                        new Fields(map).integer("generation"),
                                                        List.of()),
                                        () -> callback.onResult(Result.UNKNOWN, 0, List.of()));
                            } else if (status == 409) {
                                parse(
                                        body,
                                        map ->
                                                callback.onResult(
                                                        Result.CONFLICT,
                                                        0,
                                                        new Fields(map).texts("failed")),
                                        () -> callback.onResult(Result.UNKNOWN, 0, List.of()));
                            } else {
                                callback.onResult(failure(status), 0, List.of());
                            }
                        },
                        overdue));
    }

    /** A lease on which keys of this node's process hang: the leader's, and its word. */
    public void storeLease(long lifeMicros, LeaseCallback callback) {
        Map<String, Object> request = new LinkedHashMap<>();
        request.put("lifeMs", lifeMicros / 1000);
        submit(
                RequestPriority.CONTROL,
                new Pending(
                        "POST",
                        "/grants",
                        Cbor.encode(request),
                        0,
                        TIMEOUT_MICROS,
                        (status, body) -> {
                            if (status == 200) {
                                parse(
                                        body,
                                        map ->
                                                callback.onLease(
                                                        Result.OK, new Fields(map).integer("hold")),
                                        () -> callback.onLease(Result.UNKNOWN, 0));
                            } else {
                                callback.onLease(failure(status), 0);
                            }
                        }));
    }

    public void renewLease(long storeLease, LeaseCallback callback) {
        submit(
                RequestPriority.CONTROL,
                new Pending(
                        "POST",
                        "/grants/" + storeLease + "/renew",
                        Cbor.encode(Map.of()),
                        0,
                        TIMEOUT_MICROS,
                        (status, body) ->
                                callback.onLease(
                                        status == 200 ? Result.OK : failure(status), storeLease)));
    }

    /**
     * Waits for changes under the prefix after the given generation. Open watches bypass the
     * queue's concurrency.
     */
    public void watch(String prefix, long since, long blockMicros, WatchCallback callback) {
        String path =
                "/follow?prefix=" + prefix + "&since=" + since + "&blockMs=" + blockMicros / 1000;
        transport.request(
                address,
                "GET",
                path,
                null,
                blockMicros + WATCH_GRACE_MICROS,
                (status, body) -> {
                    onAnswer(status, 0, false);
                    onWatchAnswer(status, body, since, callback);
                });
    }

    /**
     * Reads what has changed under the prefix after the given generation, without waiting for more.
     */
    public void changes(
            RequestPriority urgency, String prefix, long since, WatchCallback callback) {
        String path = "/follow?prefix=" + prefix + "&since=" + since + "&blockMs=0";
        submit(
                urgency,
                new Pending(
                        "GET",
                        path,
                        null,
                        0,
                        TIMEOUT_MICROS,
                        (status, body) -> onWatchAnswer(status, body, since, callback)));
    }

    private static void onWatchAnswer(int status, byte[] body, long since, WatchCallback callback) {
        if (status == 200) {
            parse(
                    body,
                    map -> {
                        Fields f = new Fields(map);
                        List<Event> events = new ArrayList<>();
                        for (Object item : f.list("events")) {
                            events.add(event(itemMap(item)));
                        }
                        callback.onEvents(Result.OK, events, f.integer("generation"));
                    },
                    () -> callback.onEvents(Result.UNKNOWN, List.of(), since));
        } else if (status == 410) {
            callback.onEvents(Result.NOT_FOUND, List.of(), since);
        } else {
            callback.onEvents(failure(status), List.of(), since);
        }
    }

    private static Result failure(int status) {
        return switch (status) {
            case 404 -> Result.NOT_FOUND;
            case 400 -> Result.BAD;
                // 429 and 503 were not executed, and neither was what was never sent.
            case 429, 503, HttpTransport.NOT_SENT -> Result.UNAVAILABLE;
            default -> Result.UNKNOWN;
        };
    }

    private void submit(RequestPriority urgency, Pending pending) {
        submit(urgency, NO_DEADLINE, pending);
    }

    private void submit(RequestPriority urgency, long deadlineMicros, Pending pending) {
        long now = loop.nowMicros();
        boolean comesTooLate =
                deadlineMicros != NO_DEADLINE
                        && scheduler.estimatedWaitMicros(now, urgency, pending.writeCount)
                                > deadlineMicros - now;
        if (comesTooLate || !scheduler.add(urgency, pending, pending.writeCount)) {
            shed(pending);
            return;
        }
        if (deadlineMicros != NO_DEADLINE) {
            loop.schedule(
                    Math.max(1, deadlineMicros - now),
                    () -> {
                        if (!pending.sent[0]
                                && scheduler.remove(urgency, pending, pending.writeCount)) {
                            shed(pending);
                        }
                    });
        }
        pump();
    }

    private void shed(Pending pending) {
        shed++;
        loop.execute(() -> pending.callback.answered(HttpTransport.NOT_SENT, new byte[0]));
    }

    private void pump() {
        long now = loop.nowMicros();
        boolean full = isFull(now, 0);
        while (!full || scheduler.controlWaits() && !isFull(now, CONTROL_IN_FLIGHT)) {
            updateRates(now);
            RequestScheduler.Turn<Pending> turn = scheduler.next(now, full, heldUntilMicros - now);
            if (turn.request() == null) {
                if (turn.waitMicros() < Long.MAX_VALUE) {
                    wakeAfter(turn.waitMicros());
                }
                return;
            }
            send(turn.request());
            full = isFull(now, 0);
        }
    }

    private boolean isFull(long now, int more) {
        return inFlight.size() >= MAX_UNANSWERED + more
                || inFlight.awaitedCount(now) >= MAX_IN_FLIGHT + more;
    }

    private void wakeAfter(long micros) {
        long at = loop.nowMicros() + micros;
        if (at < wakeMicros) {
            wakeMicros = at;
            loop.schedule(
                    micros,
                    () -> {
                        if (wakeMicros == at) {
                            wakeMicros = Long.MAX_VALUE;
                        }
                        pump();
                    });
        }
    }

    private void send(Pending pending) {
        pending.sent[0] = true;
        InFlightRequests.Sent sent = inFlight.send(loop.nowMicros());
        if (pending.overdue != null) {
            loop.schedule(
                    OVERDUE_MICROS,
                    () -> {
                        if (!sent.isAnswered()) {
                            pending.overdue.run();
                        }
                    });
        }
        transport.request(
                address,
                pending.method,
                pending.path,
                pending.body,
                pending.timeoutMicros,
                (status, body) -> {
                    boolean alone =
                            status == HttpTransport.NO_RESPONSE && inFlight.isOvertaken(sent);
                    inFlight.onAnswered(sent, status > 0);
                    onAnswer(status, pending.writeCount, alone);
                    pending.callback.answered(status, body);
                    pump();
                });
    }

    /**
     * @param alone this answer is lost, and others have come that were asked for later
     */
    private void onAnswer(int status, int changes, boolean alone) {
        failures += status == 429 || status == 503 || status <= 0 ? 1 : 0;
        if (alone) {
            return;
        }
        health.onAnswer(status > 0 && status != 503);
        isRefusing = status > 0 ? status == 503 : isRefusing;
        if (status == 429) {
            limits.onRateExceeded(loop.nowMicros(), changes);
        }
        if (status == 429 || status == 503 || status <= 0) {
            heldUntilMicros = loop.nowMicros() + 50_000 + random.nextInt(150_000);
        }
    }

    private interface Reader {
        void read(Map<String, Object> map) throws MalformedMessageException;
    }

    private static void parse(byte[] body, Reader reader, Runnable unreadable) {
        Map<String, Object> map;
        try {
            map = Cbor.decodeMap(body);
        } catch (MalformedMessageException e) {
            unreadable.run();
            return;
        }
        try {
            reader.read(map);
        } catch (MalformedMessageException e) {
            unreadable.run();
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> itemMap(Object item) throws MalformedMessageException {
        if (item instanceof Map<?, ?>) {
            return (Map<String, Object>) item;
        }
        throw new MalformedMessageException("items: expected maps");
    }

    @SuppressWarnings("unchecked")
    private static Entry entry(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        return new Entry(
                f.text("path"), (Map<String, Object>) map.get("value"), f.integer("stamp"));
    }

    @SuppressWarnings("unchecked")
    private static Event event(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        boolean put = f.has("put");
        return new Event(
                f.text(put ? "put" : "drop"),
                put ? (Map<String, Object>) map.get("value") : null,
                f.integer("stamp"));
    }
}
