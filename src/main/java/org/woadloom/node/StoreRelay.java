package org.woadloom.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.http.Response;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;
import org.woadloom.store.StoreLimits;

/**
 * Carries reports to the leader through the state service, where this node can't reach the leader:
 * otherwise every lease in a zone that is cut off from it would end. Reports go many at a time in
 * one of a few letters; the leader writes the answers in the place of the letter, so that each
 * costs two changes and nothing is left to clear away. The answers need no conditions, as a worker
 * refuses an old token.
 */
final class StoreRelay {
    private static final Logger LOG = LoggerFactory.getLogger(StoreRelay.class);
    private static final long BATCH_MICROS = 100_000;
    private static final long WAIT_MICROS = 3_500_000;
    private static final long WATCH_MICROS = 10_000_000;
    private static final long RETRY_MICROS = 300_000;

    /**
     * A letter that lay here for longer, by clocks that are apart a little, is of the past: nobody
     * waits for its answers.
     */
    private static final long STALE_MICROS = 10_000_000;

    /**
     * Letters under way. With more reports they get fuller rather than more, up to the value limit,
     * and each slot is used again as soon as it is answered. Must not grow before every version in
     * use ignores slots that it does not know.
     */
    private static final int SLOTS = 8;

    /** Packed letters are read up to this length: what is longer goes in the next one. */
    private static final int MAX_PLAIN_BYTES = CompressedList.MOST_BYTES / 2;

    private static final String REPORTS = "reports";
    private static final String ANSWERS = "answers";
    private static final String PACKED = "packed-";

    /** What is around the reports in a letter. */
    private static final int LETTER_BYTES = 200;

    /** Decides a report; only the leader has one. */
    interface Decider {
        void decide(byte[] report, Consumer<Response> answer);
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final String label;
    private final StoreLimits limits;
    private final RolloutParticipant rollout;
    private final Random random;

    /** How much shorter packed reports are than plain ones, by the last letter. */
    private double compressionRatio = 0.25;

    private final ArrayDeque<RelayedHeartbeat> outgoing = new ArrayDeque<>();

    /** Reports that wait for an answer, by machine. */
    private final Map<String, RelayedHeartbeat> waiting = new HashMap<>();

    /** The letter that is under way in each slot, 0 for none. */
    private final long[] lettersInFlight = new long[SLOTS];

    private boolean flushScheduled;
    private boolean watching;
    private long leadingTerm;

    /** One report on its way. */
    private record RelayedHeartbeat(
            long id,
            String host,
            Object report,
            int size,
            DeferredHeartbeats.PendingHeartbeat sent) {}

    StoreRelay(
            EventLoop loop,
            StoreClient store,
            ServiceSettings settings,
            StoreLimits limits,
            RolloutParticipant rollout,
            Random random) {
        this.random = random;
        this.loop = loop;
        this.store = store;
        this.label = settings.label();
        this.limits = limits;
        this.rollout = rollout;
    }

    /** Sends a worker's report; the answer is 503 if none comes while the worker waits. */
    void relay(String host, DeferredHeartbeats.PendingHeartbeat report) {
        Consumer<Response> answer = report.answer();
        Map<String, Object> map;
        try {
            map = Cbor.decodeMap(report.body());
        } catch (MalformedMessageException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        RelayedHeartbeat parcel =
                new RelayedHeartbeat(newId(), host, map, Cbor.jsonSize(map) + 40, report);
        if (estimatedSize(parcel.size) + LETTER_BYTES > limits.currentValueBytes()) {
            answer.accept(Response.unavailable("the report is too long for the state service"));
            return;
        }
        RelayedHeartbeat before = waiting.put(host, parcel);
        if (before != null) {
            outgoing.remove(before);
            before.sent.answer().accept(Response.unavailable("a newer report was sent"));
        }
        loop.schedule(
                WAIT_MICROS,
                () -> {
                    if (waiting.remove(host, parcel)) {
                        outgoing.remove(parcel);
                        answer.accept(Response.unavailable("the leader does not answer"));
                    }
                });
        watchAnswers();
        outgoing.addLast(parcel);
        flushSoon();
    }

    /** Gives back what waits for an answer: it was meant for a leader that leads no more. */
    List<DeferredHeartbeats.PendingHeartbeat> withdrawAll() {
        List<DeferredHeartbeats.PendingHeartbeat> reports = new ArrayList<>();
        waiting.values().forEach(parcel -> reports.add(parcel.sent));
        waiting.clear();
        outgoing.clear();
        return reports;
    }

    /**
     * At random, so that a restarted node takes no answer to its former self for its own, whatever
     * its clock says: the answer may hold a launch that was cleared since, and must not reach the
     * worker again.
     */
    private long newId() {
        return random.nextLong() >>> 1;
    }

    private void flushSoon() {
        if (!flushScheduled) {
            flushScheduled = true;
            loop.schedule(BATCH_MICROS, this::flush);
        }
    }

    /** Fills the free slots; what finds none waits for the next, and the letters get fuller. */
    private void flush() {
        flushScheduled = false;
        for (int slot = 0; slot < SLOTS && !outgoing.isEmpty(); slot++) {
            if (lettersInFlight[slot] == 0) {
                send(slot);
            }
        }
        if (!outgoing.isEmpty()) {
            flushSoon();
        }
    }

    private void send(int slot) {
        long id = newId();
        List<Object> reports = new ArrayList<>();
        int size = LETTER_BYTES;
        // Answers with launches may be longer than the reports, and must fit in the same place.
        int most = limits.currentValueBytes() / (compresses() ? 1 : 2);
        List<RelayedHeartbeat> parcels = new ArrayList<>();
        int plain = 0;
        while (!outgoing.isEmpty()
                && (reports.isEmpty()
                        || size + estimatedSize(outgoing.peekFirst().size) <= most
                                && plain + outgoing.peekFirst().size <= MAX_PLAIN_BYTES)) {
            RelayedHeartbeat parcel = outgoing.pollFirst();
            size += estimatedSize(parcel.size);
            plain += parcel.size;
            parcels.add(parcel);
            reports.add(Arrays.asList(parcel.id, parcel.report));
        }
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("id", id);
        value.put("at", loop.wallMicros());
        fill(value, REPORTS, reports);
        compressionRatio =
                compresses()
                        ? Math.max(0.05, 1.1 * Cbor.jsonSize(value.get(PACKED + REPORTS)) / plain)
                        : compressionRatio;
        if (compresses() && Cbor.jsonSize(value) > limits.currentValueBytes()) {
            // Now it is known how short they are: they go again, fewer at a time.
            resend(parcels);
            return;
        }
        lettersInFlight[slot] = id;
        store.txn(
                RequestPriority.URGENT,
                List.of(),
                List.of(Change.put(StoreKeys.mail(label, slot), value)),
                (result, storeRevision, failed) -> {
                    if (result == Result.BAD) {
                        limits.onValueRefused(Cbor.jsonSize(value));
                        resend(parcels);
                    }
                    if (result != Result.OK) {
                        LOG.debug(
                                "event=relay_write_failed heartbeats={} result={}",
                                reports.size(),
                                result);
                        free(slot, id);
                    }
                });
        loop.schedule(WAIT_MICROS, () -> free(slot, id));
    }

    /**
     * What did not fit goes once more, in smaller letters; a single report that does not fit can't
     * be carried.
     */
    private void resend(List<RelayedHeartbeat> parcels) {
        for (int i = parcels.size() - 1; i >= 0; i--) {
            RelayedHeartbeat parcel = parcels.get(i);
            if (waiting.get(parcel.host) != parcel) {
                continue;
            }
            if (parcels.size() > 1) {
                outgoing.addFirst(parcel);
            } else {
                waiting.remove(parcel.host);
                parcel.sent
                        .answer()
                        .accept(
                                Response.unavailable(
                                        "the report is too long for the state service"));
            }
        }
        flushSoon();
    }

    /** True once every node can read packed letters. */
    private boolean compresses() {
        return rollout.format() == RecordFormat.COMPACT;
    }

    private int estimatedSize(int size) {
        return compresses() ? (int) (size * compressionRatio) + 1 : size;
    }

    private void fill(Map<String, Object> letter, String what, List<Object> items) {
        if (compresses()) {
            letter.put(PACKED + what, CompressedList.pack(items));
        } else {
            letter.put(what, items);
        }
    }

    /** What a letter holds, or null where it holds something else. */
    private static List<?> items(Map<String, Object> letter, String what)
            throws MalformedMessageException {
        Fields f = new Fields(letter);
        return f.has(PACKED + what)
                ? CompressedList.unpack(f.text(PACKED + what))
                : f.has(what) ? f.list(what) : null;
    }

    private void free(int slot, long id) {
        if (slot >= 0 && slot < SLOTS && lettersInFlight[slot] == id) {
            lettersInFlight[slot] = 0;
        }
    }

    private void watchAnswers() {
        if (!watching) {
            watching = true;
            // The first revision of all: what is there already is read as well, and ignored by its
            // id.
            store.list(
                    RequestPriority.URGENT,
                    StoreKeys.mailOf(label),
                    (result, entries, storeRevision) -> {
                        entries.forEach(entry -> onAnswers(entry.path(), entry.value()));
                        if (result == Result.OK) {
                            followAnswers(storeRevision);
                        } else {
                            watchLater();
                        }
                    });
        }
    }

    private void watchLater() {
        watching = false;
        if (!waiting.isEmpty()) {
            loop.schedule(RETRY_MICROS, this::watchAnswers);
        }
    }

    private void followAnswers(long since) {
        store.watch(
                StoreKeys.mailOf(label),
                since,
                WATCH_MICROS,
                (result, events, storeRevision) -> {
                    for (StoreClient.Event event : events) {
                        if (event.value() != null) {
                            onAnswers(event.path(), event.value());
                        }
                    }
                    if (result == Result.OK && (!waiting.isEmpty() || !events.isEmpty())) {
                        followAnswers(Math.max(since, storeRevision));
                    } else {
                        watchLater();
                    }
                });
    }

    private void onAnswers(String path, Map<String, Object> value) {
        try {
            Fields f = new Fields(value);
            List<?> answers = items(value, ANSWERS);
            if (answers == null) {
                return;
            }
            free(
                    (int) Long.parseLong(path.substring(StoreKeys.mailOf(label).length())),
                    f.integer("id"));
            for (Object item : answers) {
                if (!(item instanceof List<?> parts)
                        || parts.size() != 4
                        || !(parts.get(0) instanceof Long id)
                        || !(parts.get(1) instanceof String host)
                        || !(parts.get(2) instanceof Long status)) {
                    throw new MalformedMessageException(
                            "answers: expected id, machine, status and body");
                }
                RelayedHeartbeat mine = waiting.get(host);
                if (mine != null && mine.id == id) {
                    waiting.remove(host);
                    mine.sent
                            .answer()
                            .accept(Response.cbor(status.intValue(), Cbor.encode(parts.get(3))));
                }
            }
        } catch (MalformedMessageException | NumberFormatException e) {
            LOG.error("event=record_unreadable key={} error=\"{}\"", path, e.getMessage());
        }
    }

    // The leader's side.

    /** Answers letters as long as this term lasts. */
    void start(long term, Decider decider) {
        leadingTerm = term;
        read(term, decider);
    }

    void stop() {
        leadingTerm = 0;
    }

    private void read(long term, Decider decider) {
        store.list(
                RequestPriority.URGENT,
                StoreKeys.MAIL,
                (result, entries, storeRevision) -> {
                    if (leadingTerm != term) {
                        return;
                    }
                    if (result != Result.OK) {
                        loop.schedule(RETRY_MICROS, () -> read(term, decider));
                        return;
                    }
                    entries.forEach(entry -> onLetter(entry.path(), entry.value(), decider));
                    followMail(term, storeRevision, decider);
                });
    }

    private void followMail(long term, long since, Decider decider) {
        store.watch(
                StoreKeys.MAIL,
                since,
                WATCH_MICROS,
                (result, events, storeRevision) -> {
                    if (leadingTerm != term) {
                        return;
                    }
                    if (result == Result.OK) {
                        for (StoreClient.Event event : events) {
                            if (event.value() != null) {
                                onLetter(event.path(), event.value(), decider);
                            }
                        }
                        followMail(term, Math.max(since, storeRevision), decider);
                    } else {
                        loop.schedule(RETRY_MICROS, () -> read(term, decider));
                    }
                });
    }

    private void onLetter(String path, Map<String, Object> value, Decider decider) {
        try {
            Fields f = new Fields(value);
            List<?> reports = items(value, REPORTS);
            if (reports == null) {
                return;
            }
            long id = f.integer("id");
            if (Math.abs(loop.wallMicros() - f.integer("at")) > STALE_MICROS || reports.isEmpty()) {
                return;
            }
            List<Object> answers = new ArrayList<>();
            int[] missing = {reports.size()};
            for (Object item : reports) {
                if (!(item instanceof List<?> parts)
                        || parts.size() != 2
                        || !(parts.get(0) instanceof Long reportId)) {
                    throw new MalformedMessageException("reports: expected id and report");
                }
                String host = Fields.of(parts.get(1), "report").text("host");
                decider.decide(
                        Cbor.encode(parts.get(1)),
                        response -> {
                            answers.add(
                                    Arrays.asList(
                                            reportId,
                                            host,
                                            (long) response.status(),
                                            body(response)));
                            if (--missing[0] == 0) {
                                reply(path, id, answers);
                            }
                        });
            }
        } catch (MalformedMessageException e) {
            LOG.error("event=record_unreadable key={} error=\"{}\"", path, e.getMessage());
        }
    }

    private static Object body(Response response) {
        try {
            return Cbor.decodeMap(response.body());
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Answers that don't fit are left out: their workers report again. */
    private void reply(String path, long id, List<Object> all) {
        List<Object> answers = new ArrayList<>(all);
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("id", id);
        fill(value, ANSWERS, answers);
        while ((Cbor.jsonSize(value) > limits.currentValueBytes()
                        || Cbor.jsonSize(answers) > MAX_PLAIN_BYTES)
                && !answers.isEmpty()) {
            answers.subList(answers.size() * 3 / 4, answers.size()).clear();
            fill(value, ANSWERS, answers);
        }
        store.txn(
                RequestPriority.URGENT,
                List.of(),
                List.of(Change.put(path, value)),
                (result, storeRevision, failed) -> {
                    if (result == Result.BAD) {
                        limits.onValueRefused(Cbor.jsonSize(value));
                    }
                    if (result != Result.OK) {
                        LOG.debug(
                                "event=relay_write_failed answers={} result={}",
                                answers.size(),
                                result);
                    }
                });
    }
}
