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
import org.woadloom.net.Loop;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.state.Keys;
import org.woadloom.state.Limits;
import org.woadloom.state.RecordFormat;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.Fields;
import org.woadloom.wire.WireException;

/**
 * Carries reports to the leader through the state service, where this node can't reach the leader: otherwise every lease
 * in a zone that is cut off from it would end. Reports go many at a time in one of a few letters; the leader writes the
 * answers in the place of the letter, so that each costs two changes and nothing is left to clear away. The answers need
 * no conditions, as a worker refuses an old token.
 */
final class Mailbox {
    private static final Logger LOG = LoggerFactory.getLogger(Mailbox.class);
    private static final long BATCH_MICROS = 100_000;
    private static final long WAIT_MICROS = 3_500_000;
    private static final long WATCH_MICROS = 10_000_000;
    private static final long RETRY_MICROS = 300_000;
    /** A letter that lay here for longer, by clocks that are apart a little, is of the past: nobody waits for its answers. */
    private static final long STALE_MICROS = 10_000_000;
    /**
     * Letters under way. With more reports they get fuller rather than more, up to the value limit, and each slot is used
     * again as soon as it is answered. Must not grow before every version in use ignores slots that it does not know.
     */
    private static final int SLOTS = 8;
    /** Packed letters are read up to this length: what is longer goes in the next one. */
    private static final int MAX_PLAIN_BYTES = Letters.MOST_BYTES / 2;
    private static final String REPORTS = "reports";
    private static final String ANSWERS = "answers";
    private static final String PACKED = "packed-";
    /** What is around the reports in a letter. */
    private static final int LETTER_BYTES = 200;

    /** Decides a report; only the leader has one. */
    interface Decider {
        void decide(byte[] report, Consumer<Response> answer);
    }

    private final Loop loop;
    private final StateClient state;
    private final String label;
    private final Limits limits;
    private final Rollout rollout;
    private final Random random;
    /** How much shorter packed reports are than plain ones, by the last letter. */
    private double packing = 0.25;
    private final ArrayDeque<Parcel> outgoing = new ArrayDeque<>();
    /** Reports that wait for an answer, by machine. */
    private final Map<String, Parcel> waiting = new HashMap<>();
    /** The letter that is under way in each slot, 0 for none. */
    private final long[] letters = new long[SLOTS];
    private boolean flushScheduled;
    private boolean watching;
    private long leading;

    /** One report on its way. */
    private record Parcel(long id, String host, Object report, int size, ParkedReports.Parked sent) {
    }

    Mailbox(Loop loop, StateClient state, ServiceSettings settings, Limits limits, Rollout rollout, Random random) {
        this.random = random;
        this.loop = loop;
        this.state = state;
        this.label = settings.label();
        this.limits = limits;
        this.rollout = rollout;
    }

    /** Sends a worker's report; the answer is 503 if none comes while the worker waits. */
    void carry(String host, ParkedReports.Parked report) {
        Consumer<Response> answer = report.answer();
        Map<String, Object> map;
        try {
            map = Cbor.decodeMap(report.body());
        } catch (WireException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        Parcel parcel = new Parcel(newId(), host, map, Cbor.jsonSize(map) + 40, report);
        if (room(parcel.size) + LETTER_BYTES > limits.valueBytesNow()) {
            answer.accept(Response.unavailable("the report is too long for the state service"));
            return;
        }
        Parcel before = waiting.put(host, parcel);
        if (before != null) {
            outgoing.remove(before);
            before.sent.answer().accept(Response.unavailable("a newer report was sent"));
        }
        loop.schedule(WAIT_MICROS, () -> {
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
    List<ParkedReports.Parked> takeBack() {
        List<ParkedReports.Parked> reports = new ArrayList<>();
        waiting.values().forEach(parcel -> reports.add(parcel.sent));
        waiting.clear();
        outgoing.clear();
        return reports;
    }

    /**
     * At random, so that a restarted node takes no answer to its former self for its own, whatever its clock says: the
     * answer may hold a launch that was cleared since, and must not reach the worker again.
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
            if (letters[slot] == 0) {
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
        int most = limits.valueBytesNow() / (packs() ? 1 : 2);
        List<Parcel> parcels = new ArrayList<>();
        int plain = 0;
        while (!outgoing.isEmpty() && (reports.isEmpty() || size + room(outgoing.peekFirst().size) <= most
                && plain + outgoing.peekFirst().size <= MAX_PLAIN_BYTES)) {
            Parcel parcel = outgoing.pollFirst();
            size += room(parcel.size);
            plain += parcel.size;
            parcels.add(parcel);
            reports.add(Arrays.asList(parcel.id, parcel.report));
        }
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("id", id);
        value.put("at", loop.wallMicros());
        fill(value, REPORTS, reports);
        packing = packs() ? Math.max(0.05, 1.1 * Cbor.jsonSize(value.get(PACKED + REPORTS)) / plain) : packing;
        if (packs() && Cbor.jsonSize(value) > limits.valueBytesNow()) {
            // Now it is known how short they are: they go again, fewer at a time.
            sendAgain(parcels);
            return;
        }
        letters[slot] = id;
        state.txn(Urgency.URGENT, List.of(), List.of(Change.put(Keys.mail(label, slot), value)),
                (result, generation, failed) -> {
                    if (result == Result.BAD) {
                        limits.refusedValue(Cbor.jsonSize(value));
                        sendAgain(parcels);
                    }
                    if (result != Result.OK) {
                        LOG.debug("event=relay_write_failed heartbeats={} result={}", reports.size(), result);
                        free(slot, id);
                    }
                });
        loop.schedule(WAIT_MICROS, () -> free(slot, id));
    }

    /** What did not fit goes once more, in smaller letters; a single report that does not fit can't be carried. */
    private void sendAgain(List<Parcel> parcels) {
        for (int i = parcels.size() - 1; i >= 0; i--) {
            Parcel parcel = parcels.get(i);
            if (waiting.get(parcel.host) != parcel) {
                continue;
            }
            if (parcels.size() > 1) {
                outgoing.addFirst(parcel);
            } else {
                waiting.remove(parcel.host);
                parcel.sent.answer().accept(Response.unavailable("the report is too long for the state service"));
            }
        }
        flushSoon();
    }

    /** True once every node can read packed letters. */
    private boolean packs() {
        return rollout.format() == RecordFormat.COMPACT;
    }

    private int room(int size) {
        return packs() ? (int) (size * packing) + 1 : size;
    }

    private void fill(Map<String, Object> letter, String what, List<Object> items) {
        if (packs()) {
            letter.put(PACKED + what, Letters.pack(items));
        } else {
            letter.put(what, items);
        }
    }

    /** What a letter holds, or null where it holds something else. */
    private static List<?> items(Map<String, Object> letter, String what) throws WireException {
        Fields f = new Fields(letter);
        return f.has(PACKED + what) ? Letters.unpack(f.text(PACKED + what)) : f.has(what) ? f.list(what) : null;
    }

    private void free(int slot, long id) {
        if (slot >= 0 && slot < SLOTS && letters[slot] == id) {
            letters[slot] = 0;
        }
    }

    private void watchAnswers() {
        if (!watching) {
            watching = true;
            // The first revision of all: what is there already is read as well, and ignored by its id.
            state.list(Urgency.URGENT, Keys.mailOf(label), (result, entries, generation) -> {
                entries.forEach(entry -> answered(entry.path(), entry.value()));
                if (result == Result.OK) {
                    followAnswers(generation);
                } else {
                    watchAgain();
                }
            });
        }
    }

    private void watchAgain() {
        watching = false;
        if (!waiting.isEmpty()) {
            loop.schedule(RETRY_MICROS, this::watchAnswers);
        }
    }

    private void followAnswers(long since) {
        state.follow(Keys.mailOf(label), since, WATCH_MICROS, (result, events, generation) -> {
            for (StateClient.Event event : events) {
                if (event.value() != null) {
                    answered(event.path(), event.value());
                }
            }
            if (result == Result.OK && (!waiting.isEmpty() || !events.isEmpty())) {
                followAnswers(Math.max(since, generation));
            } else {
                watchAgain();
            }
        });
    }

    private void answered(String path, Map<String, Object> value) {
        try {
            Fields f = new Fields(value);
            List<?> answers = items(value, ANSWERS);
            if (answers == null) {
                return;
            }
            free((int) Long.parseLong(path.substring(Keys.mailOf(label).length())), f.integer("id"));
            for (Object item : answers) {
                if (!(item instanceof List<?> parts) || parts.size() != 4 || !(parts.get(0) instanceof Long id)
                        || !(parts.get(1) instanceof String host) || !(parts.get(2) instanceof Long status)) {
                    throw new WireException("answers: expected id, machine, status and body");
                }
                Parcel mine = waiting.get(host);
                if (mine != null && mine.id == id) {
                    waiting.remove(host);
                    mine.sent.answer().accept(Response.cbor(status.intValue(), Cbor.encode(parts.get(3))));
                }
            }
        } catch (WireException | NumberFormatException e) {
            LOG.error("event=record_unreadable key={} error=\"{}\"", path, e.getMessage());
        }
    }

    // The leader's side.

    /** Answers letters as long as this term lasts. */
    void lead(long term, Decider decider) {
        leading = term;
        read(term, decider);
    }

    void end() {
        leading = 0;
    }

    private void read(long term, Decider decider) {
        state.list(Urgency.URGENT, Keys.MAIL, (result, entries, generation) -> {
            if (leading != term) {
                return;
            }
            if (result != Result.OK) {
                loop.schedule(RETRY_MICROS, () -> read(term, decider));
                return;
            }
            entries.forEach(entry -> letter(entry.path(), entry.value(), decider));
            followMail(term, generation, decider);
        });
    }

    private void followMail(long term, long since, Decider decider) {
        state.follow(Keys.MAIL, since, WATCH_MICROS, (result, events, generation) -> {
            if (leading != term) {
                return;
            }
            if (result == Result.OK) {
                for (StateClient.Event event : events) {
                    if (event.value() != null) {
                        letter(event.path(), event.value(), decider);
                    }
                }
                followMail(term, Math.max(since, generation), decider);
            } else {
                loop.schedule(RETRY_MICROS, () -> read(term, decider));
            }
        });
    }

    private void letter(String path, Map<String, Object> value, Decider decider) {
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
                if (!(item instanceof List<?> parts) || parts.size() != 2 || !(parts.get(0) instanceof Long reportId)) {
                    throw new WireException("reports: expected id and report");
                }
                String host = Fields.of(parts.get(1), "report").text("host");
                decider.decide(Cbor.encode(parts.get(1)), response -> {
                    answers.add(Arrays.asList(reportId, host, (long) response.status(), body(response)));
                    if (--missing[0] == 0) {
                        reply(path, id, answers);
                    }
                });
            }
        } catch (WireException e) {
            LOG.error("event=record_unreadable key={} error=\"{}\"", path, e.getMessage());
        }
    }

    private static Object body(Response response) {
        try {
            return Cbor.decodeMap(response.body());
        } catch (WireException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Answers that don't fit are left out: their workers report again. */
    private void reply(String path, long id, List<Object> all) {
        List<Object> answers = new ArrayList<>(all);
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("id", id);
        fill(value, ANSWERS, answers);
        while ((Cbor.jsonSize(value) > limits.valueBytesNow() || Cbor.jsonSize(answers) > MAX_PLAIN_BYTES) && !answers.isEmpty()) {
            answers.subList(answers.size() * 3 / 4, answers.size()).clear();
            fill(value, ANSWERS, answers);
        }
        state.txn(Urgency.URGENT, List.of(), List.of(Change.put(path, value)), (result, generation, failed) -> {
            if (result == Result.BAD) {
                limits.refusedValue(Cbor.jsonSize(value));
            }
            if (result != Result.OK) {
                LOG.debug("event=relay_write_failed answers={} result={}", answers.size(), result);
            }
        });
    }
}
