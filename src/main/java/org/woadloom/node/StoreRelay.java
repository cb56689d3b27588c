package org.woadloom.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.http.Response;
import org.woadloom.net.EventLoop;
import org.woadloom.node.RelayCodec.RelayedAnswer;
import org.woadloom.node.RelayCodec.RelayedHeartbeat;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;
import org.woadloom.store.StoreLimits;

/**
 * Relays heartbeats through the store to a leader that this node can't reach: otherwise every lease
 * in a zone that is cut off from the leader would expire. Heartbeats go in batches, each in one of
 * a few slots; the leader ({@link StoreRelayLeader}) writes the answers in the place of the batch,
 * so that each costs two changes and nothing is left to delete. The answers need no conditions, as
 * an agent refuses an old fencing token.
 */
final class StoreRelay {
    private static final Logger LOG = LoggerFactory.getLogger(StoreRelay.class);
    private static final long BATCH_MICROS = 100_000;
    private static final long ANSWER_TIMEOUT_MICROS = 3_500_000;
    private static final long WATCH_TIMEOUT_MICROS = 10_000_000;
    private static final long RETRY_MICROS = 300_000;

    /** What is stored around one heartbeat of a batch. */
    private static final int HEARTBEAT_OVERHEAD_BYTES = 40;

    private static final double INITIAL_COMPRESSION_RATIO = 0.25;
    private static final double MIN_COMPRESSION_RATIO = 0.05;

    /** The next batch may compress a little worse than the last. */
    private static final double COMPRESSION_MARGIN = 1.1;

    private final EventLoop loop;
    private final StoreClient store;
    private final String label;
    private final StoreLimits limits;
    private final RelayCodec codec;
    private final Random random;
    private final RelaySlots slots = new RelaySlots();

    /** The size of compressed heartbeats as a part of that of plain ones, by the last batch. */
    private double compressionRatio = INITIAL_COMPRESSION_RATIO;

    private final ArrayDeque<Relayed> outgoing = new ArrayDeque<>();

    /** Heartbeats that wait for an answer, sent or not, by machine. */
    private final Map<String, Relayed> waiting = new HashMap<>();

    private boolean flushScheduled;
    private boolean watching;

    /**
     * A heartbeat on its way.
     *
     * @param plainBytes its size in a batch that is not compressed
     */
    private record Relayed(
            RelayedHeartbeat heartbeat, String host, int plainBytes, PendingHeartbeat origin) {
        void answer(Response response) {
            origin.answer().accept(response);
        }
    }

    StoreRelay(
            EventLoop loop,
            StoreClient store,
            ServiceSettings settings,
            StoreLimits limits,
            RolloutParticipant rollout,
            Random random) {
        this.loop = loop;
        this.store = store;
        this.label = settings.label();
        this.limits = limits;
        this.codec = new RelayCodec(rollout);
        this.random = random;
    }

    /** Sends an agent's heartbeat; the answer is 503 if none comes while the agent waits. */
    void relay(String host, PendingHeartbeat origin) {
        Map<String, Object> content;
        try {
            content = Cbor.decodeMap(origin.body());
        } catch (MalformedMessageException e) {
            origin.answer().accept(Response.error(400, e.getMessage()));
            return;
        }
        Relayed relayed =
                new Relayed(
                        new RelayedHeartbeat(newId(), content),
                        host,
                        Cbor.maxJsonSize(content) + HEARTBEAT_OVERHEAD_BYTES,
                        origin);
        if (estimatedBytes(relayed) + RelayCodec.BATCH_OVERHEAD_BYTES
                > limits.maxAcceptedValueBytes()) {
            refuseTooLong(relayed);
            return;
        }
        Relayed superseded = waiting.put(host, relayed);
        if (superseded != null) {
            outgoing.remove(superseded);
            superseded.answer(Response.unavailable("a newer report was sent"));
        }
        loop.schedule(ANSWER_TIMEOUT_MICROS, () -> onTimeout(relayed));
        watchAnswers();
        outgoing.addLast(relayed);
        scheduleFlush();
    }

    /** Gives back what waits for an answer: it was meant for a leader that leads no more. */
    List<PendingHeartbeat> withdrawAll() {
        List<PendingHeartbeat> withdrawn = new ArrayList<>();
        waiting.values().forEach(relayed -> withdrawn.add(relayed.origin));
        waiting.clear();
        outgoing.clear();
        return withdrawn;
    }

    /**
     * At random, so that a restarted node takes no answer to its predecessor for its own, whatever
     * its clock says: the answer may hold a start command that was acknowledged since, and must not
     * reach the agent once more.
     */
    private long newId() {
        return random.nextLong() >>> 1;
    }

    private void onTimeout(Relayed relayed) {
        if (waiting.remove(relayed.host, relayed)) {
            outgoing.remove(relayed);
            relayed.answer(Response.unavailable("the leader does not answer"));
        }
    }

    private static void refuseTooLong(Relayed relayed) {
        relayed.answer(Response.unavailable("the report is too long for the state service"));
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            loop.schedule(BATCH_MICROS, this::flush);
        }
    }

    /** Fills the free slots; what finds none waits for the next, and the batches get larger. */
    private void flush() {
        flushScheduled = false;
        for (int slot = 0; slot < RelaySlots.COUNT && !outgoing.isEmpty(); slot++) {
            if (slots.isFree(slot)) {
                send(slot);
            }
        }
        if (!outgoing.isEmpty()) {
            scheduleFlush();
        }
    }

    private void send(int slot) {
        long batchId = newId();
        List<Relayed> batch = takeBatch();
        Map<String, Object> value =
                codec.encodeHeartbeats(
                        batchId,
                        loop.wallMicros(),
                        batch.stream().map(Relayed::heartbeat).toList());
        if (codec.isCompressing()) {
            updateCompressionRatio(batch, value);
            if (Cbor.maxJsonSize(value) > limits.maxAcceptedValueBytes()) {
                // With the ratio that is known now, the next batches are small enough.
                resend(batch);
                return;
            }
        }
        slots.occupy(slot, batchId);
        write(slot, batchId, batch, value);
        loop.schedule(ANSWER_TIMEOUT_MICROS, () -> slots.free(slot, batchId));
    }

    private List<Relayed> takeBatch() {
        // Answers with start commands may be longer than the heartbeats, and must fit in the same
        // place.
        int maxBytes = limits.maxAcceptedValueBytes() / (codec.isCompressing() ? 1 : 2);
        List<Relayed> batch = new ArrayList<>();
        int bytes = RelayCodec.BATCH_OVERHEAD_BYTES;
        int plainBytes = 0;
        while (!outgoing.isEmpty()) {
            Relayed next = outgoing.peekFirst();
            boolean fits =
                    bytes + estimatedBytes(next) <= maxBytes
                            && plainBytes + next.plainBytes <= RelayCodec.MAX_PLAIN_BYTES;
            if (!batch.isEmpty() && !fits) {
                break;
            }
            outgoing.removeFirst();
            bytes += estimatedBytes(next);
            plainBytes += next.plainBytes;
            batch.add(next);
        }
        return batch;
    }

    private int estimatedBytes(Relayed relayed) {
        return codec.isCompressing()
                ? (int) (relayed.plainBytes * compressionRatio) + 1
                : relayed.plainBytes;
    }

    private void updateCompressionRatio(List<Relayed> batch, Map<String, Object> value) {
        int plainBytes = 0;
        for (Relayed relayed : batch) {
            plainBytes += relayed.plainBytes;
        }
        double ratio = COMPRESSION_MARGIN * RelayCodec.compressedHeartbeatsSize(value) / plainBytes;
        compressionRatio = Math.max(MIN_COMPRESSION_RATIO, ratio);
    }

    private void write(int slot, long batchId, List<Relayed> batch, Map<String, Object> value) {
        store.txn(
                RequestPriority.URGENT,
                List.of(),
                List.of(Change.put(StoreKeys.relaySlot(label, slot), value)),
                (result, storeRevision, failed) -> {
                    if (result == Result.BAD) {
                        limits.onValueRefused(Cbor.maxJsonSize(value));
                        resend(batch);
                    }
                    if (result != Result.OK) {
                        LOG.debug(
                                "event=relay_write_failed heartbeats={} result={}",
                                batch.size(),
                                result);
                        slots.free(slot, batchId);
                    }
                });
    }

    /**
     * Sends what did not fit in smaller batches; a single heartbeat that does not fit can't be
     * relayed.
     */
    private void resend(List<Relayed> batch) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            Relayed relayed = batch.get(i);
            @SuppressWarnings("ReferenceEquality") // A newer heartbeat may have the same content.
            boolean superseded = waiting.get(relayed.host) != relayed;
            if (superseded) {
                continue;
            }
            if (batch.size() > 1) {
                outgoing.addFirst(relayed);
            } else {
                waiting.remove(relayed.host);
                refuseTooLong(relayed);
            }
        }
        scheduleFlush();
    }

    private void watchAnswers() {
        if (watching) {
            return;
        }
        watching = true;
        // The list gives the revision to watch from; answers to earlier batches that it shows are
        // ignored by their ids.
        store.list(
                RequestPriority.URGENT,
                StoreKeys.relayPrefix(label),
                (result, entries, storeRevision) -> {
                    entries.forEach(entry -> onBatch(entry.key(), entry.value()));
                    if (result == Result.OK) {
                        watchAnswersSince(storeRevision);
                    } else {
                        watchAnswersLater();
                    }
                });
    }

    private void watchAnswersLater() {
        watching = false;
        if (!waiting.isEmpty()) {
            loop.schedule(RETRY_MICROS, this::watchAnswers);
        }
    }

    private void watchAnswersSince(long sinceRevision) {
        store.watch(
                StoreKeys.relayPrefix(label),
                sinceRevision,
                WATCH_TIMEOUT_MICROS,
                (result, events, storeRevision) -> {
                    for (StoreClient.Event event : events) {
                        if (event.value() != null) {
                            onBatch(event.key(), event.value());
                        }
                    }
                    if (result == Result.OK && (!waiting.isEmpty() || !events.isEmpty())) {
                        watchAnswersSince(Math.max(sinceRevision, storeRevision));
                    } else {
                        watchAnswersLater();
                    }
                });
    }

    private void onBatch(String path, Map<String, Object> value) {
        try {
            RelayCodec.AnswerBatch batch = RelayCodec.decodeAnswers(value);
            if (batch == null) {
                return;
            }
            long slot = Long.parseLong(path.substring(StoreKeys.relayPrefix(label).length()));
            slots.free((int) slot, batch.id());
            for (Object item : batch.items()) {
                onAnswer(RelayCodec.decodeAnswer(item));
            }
        } catch (MalformedMessageException | NumberFormatException e) {
            UnreadableRecords.log(path, e);
        }
    }

    private void onAnswer(RelayedAnswer answer) {
        Relayed relayed = waiting.get(answer.host());
        if (relayed != null && relayed.heartbeat.id() == answer.heartbeatId()) {
            waiting.remove(answer.host());
            Consumer<Response> origin = relayed.origin.answer();
            origin.accept(Response.cbor(answer.status(), Cbor.encode(answer.content())));
        }
    }
}
