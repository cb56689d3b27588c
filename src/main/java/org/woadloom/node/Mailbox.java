package org.woadloom.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.http.Response;
import org.woadloom.net.Loop;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.state.Keys;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.Fields;
import org.woadloom.wire.WireException;

/**
 * Carries reports to the leader through the state service, where this node can't reach the leader: otherwise every lease
 * in a zone that is cut off from it would end. The answers need no conditions, as a worker refuses an old token.
 */
final class Mailbox {
    private static final Logger LOG = LoggerFactory.getLogger(Mailbox.class);
    private static final long BATCH_MICROS = 100_000;
    private static final long WAIT_MICROS = 3_500_000;
    private static final long WATCH_MICROS = 10_000_000;
    private static final long RETRY_MICROS = 300_000;
    private static final int MAX_BYTES = 56 * 1024;

    /** Decides a report; only the leader has one. */
    interface Decider {
        void decide(byte[] report, Consumer<Response> answer);
    }

    private final Loop loop;
    private final StateClient state;
    private final String label;
    private final int txnOps;
    private final int valueBytes;
    private final List<Change> outgoing = new ArrayList<>();
    private final Map<String, Waiting> waiting = new HashMap<>();
    private boolean flushScheduled;
    private boolean watching;
    private long leading;
    private long ids;

    private record Waiting(long id, Consumer<Response> answer) {
    }

    Mailbox(Loop loop, StateClient state, ServiceSettings settings) {
        this.loop = loop;
        this.state = state;
        this.label = settings.label();
        this.txnOps = settings.state().txnOps();
        this.valueBytes = settings.state().valueBytes();
    }

    /** Sends a worker's report; the answer is 503 if none comes while the worker waits. */
    void carry(String host, byte[] report, Consumer<Response> answer) {
        Map<String, Object> value = new LinkedHashMap<>();
        // A restarted node must not take an answer to its former self for one to a report of its own.
        long id = loop.wallMicros() * 16 + ++ids % 16;
        value.put("from", label);
        value.put("id", id);
        try {
            value.put("report", Cbor.decodeMap(report));
        } catch (WireException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        if (Cbor.jsonSize(value) > valueBytes) {
            answer.accept(Response.unavailable("the report is too long for the state service"));
            return;
        }
        Waiting mine = new Waiting(id, answer);
        Waiting before = waiting.put(host, mine);
        if (before != null) {
            before.answer.accept(Response.unavailable("a newer report was sent"));
        }
        loop.schedule(WAIT_MICROS, () -> {
            if (waiting.remove(host, mine)) {
                answer.accept(Response.unavailable("the leader does not answer"));
            }
        });
        watchAnswers();
        write(Change.put(Keys.mail(host), value));
    }

    private void write(Change change) {
        outgoing.add(change);
        if (!flushScheduled) {
            flushScheduled = true;
            loop.schedule(BATCH_MICROS, this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        List<Change> batch = new ArrayList<>();
        int bytes = 0;
        for (Change change : outgoing) {
            int size = 260 + Cbor.jsonSize(change.value());
            if (batch.size() == txnOps || !batch.isEmpty() && bytes + size > MAX_BYTES) {
                send(batch);
                batch = new ArrayList<>();
                bytes = 0;
            }
            batch.add(change);
            bytes += size;
        }
        outgoing.clear();
        send(batch);
    }

    private void send(List<Change> batch) {
        state.txn(Urgency.URGENT, List.of(), batch, (result, generation, failed) -> {
            if (result != Result.OK) {
                LOG.debug("{} letters were not written: {}", batch.size(), result);
            }
        });
    }

    // The side that carries.

    private void watchAnswers() {
        if (!watching) {
            watching = true;
            // The first revision of all: what is there already is read as well, and ignored by its id.
            state.list(Urgency.URGENT, Keys.answers(label), (result, entries, generation) -> {
                entries.forEach(entry -> answered(entry.path(), entry.value()));
                if (result == Result.OK) {
                    followAnswers(generation);
                } else {
                    watching = false;
                }
            });
        }
    }

    private void followAnswers(long since) {
        state.follow(Keys.answers(label), since, WATCH_MICROS, (result, events, generation) -> {
            for (StateClient.Event event : events) {
                if (event.value() != null) {
                    answered(event.path(), event.value());
                }
            }
            if (result == Result.OK && (!waiting.isEmpty() || !events.isEmpty())) {
                followAnswers(Math.max(since, generation));
            } else {
                watching = false;
                if (!waiting.isEmpty()) {
                    loop.schedule(RETRY_MICROS, this::watchAnswers);
                }
            }
        });
    }

    private void answered(String path, Map<String, Object> value) {
        String host = path.substring(Keys.answers(label).length());
        Waiting mine = waiting.get(host);
        try {
            Fields f = new Fields(value);
            if (mine != null && mine.id == f.integer("id")) {
                waiting.remove(host);
                mine.answer.accept(Response.cbor((int) f.integer("status"), Cbor.encode(f.raw("body"))));
                state.txn(Urgency.BACKGROUND, List.of(), List.of(Change.drop(path)), (result, generation, failed) -> {
                });
            }
        } catch (WireException e) {
            LOG.error("answer {} can't be read: {}", path, e.getMessage());
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
        String host = path.substring(Keys.MAIL.length());
        try {
            Fields f = new Fields(value);
            String from = f.text("from");
            long id = f.integer("id");
            decider.decide(Cbor.encode(f.raw("report")), response -> {
                Map<String, Object> answer = new LinkedHashMap<>();
                answer.put("id", id);
                answer.put("status", (long) response.status());
                try {
                    answer.put("body", Cbor.decodeMap(response.body()));
                } catch (WireException e) {
                    throw new IllegalStateException(e);
                }
                write(Change.put(Keys.answers(from) + host, answer));
                write(Change.drop(path));
            });
        } catch (WireException e) {
            LOG.error("letter {} can't be read: {}", path, e.getMessage());
        }
    }
}
