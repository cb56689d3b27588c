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
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;
import org.woadloom.store.StoreLimits;

/**
 * Relays heartbeats through the store to a leader that this node can't reach. Without that, every
 * lease in a zone that is partitioned from the leader would expire. Heartbeats are sent in batches,
 * each in one of a few slots. The leader ({@link StoreRelayLeader}) overwrites the batch with the
 * answers, so that a batch costs two changes and leaves nothing to delete. The answers need no
 * conditions, as an agent rejects an old fencing token.
 */
final class StoreRelay {
    private static final Logger LOG = LoggerFactory.getLogger(StoreRelay.class);
    private static final long BATCH_MICROS = 100_000;
    private static final long ANSWER_TIMEOUT_MICROS = 3_500_000;
    private static final long WATCH_TIMEOUT_MICROS = 10_000_000;
    private static final long RETRY_MICROS = 300_000;

    /** The estimated size of a stored heartbeat apart from its content. */
    private static final int HEARTBEAT_OVERHEAD_BYTES = 40;

    private static final double INITIAL_COMPRESSION_RATIO = 0.25;
    private static final double MIN_COMPRESSION_RATIO = 0.05;

    /** Allows for the next batch to compress slightly worse than the last. */
    private static final double COMPRESSION_MARGIN = 1.1;

    private final EventLoop loop;
    private final StoreClient store;
    private final String label;
    private final StoreLimits limits;
    private final RelayCodec codec;
    private final Random random;
    private final RelaySlots slots = new RelaySlots();

    /**
     * The size of the last batch's heartbeats after compression, relative to their size before it.
     */
    private double compressionRatio = INITIAL_COMPRESSION_RATIO;

    private final ArrayDeque<PendingRelay> outgoing = new ArrayDeque<>();

    /** The heartbeats that wait for an answer, whether sent or not, by host. */
    private final Map<String, PendingRelay> waiting = new HashMap<>();

    private boolean flushScheduled;
    private boolean watching;

    /**
     * A heartbeat that waits for an answer.
     *
     * @param plainBytes its size in an uncompressed batch
     */
    private record PendingRelay(
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

    /** Relays an agent's heartbeat; answers 503 if the leader does not answer in time. */
    void relay(String host, PendingHeartbeat origin) {
        Map<String, Object> content;
        try {
            content = Cbor.decodeMap(origin.body(), Heartbeat.KNOWN_FIELDS);
        } catch (MalformedMessageException e) {
            origin.answer().accept(Response.error(400, e.getMessage()));
            return;
        }
        PendingRelay pending =
                new PendingRelay(
                        new RelayedHeartbeat(newId(), content),
                        host,
                        Cbor.maxJsonSize(content) + HEARTBEAT_OVERHEAD_BYTES,
                        origin);
        if (estimatedBytes(pending) + RelayCodec.BATCH_OVERHEAD_BYTES
                > limits.maxAcceptedValueBytes()) {
            refuseTooLarge(pending);
            return;
        }
        PendingRelay superseded = waiting.put(host, pending);
        if (superseded != null) {
            outgoing.remove(superseded);
            superseded.answer(
                    Response.unavailable("superseded by a newer heartbeat of the same machine"));
        }
        loop.schedule(ANSWER_TIMEOUT_MICROS, () -> onTimeout(pending));
        watchAnswers();
        outgoing.addLast(pending);
        scheduleFlush();
    }

    /**
     * Removes and returns all heartbeats that wait for an answer, so that they can be routed again.
     */
    List<PendingHeartbeat> withdrawAll() {
        List<PendingHeartbeat> withdrawn = new ArrayList<>();
        waiting.values().forEach(pending -> withdrawn.add(pending.origin));
        waiting.clear();
        outgoing.clear();
        return withdrawn;
    }

    /**
     * Draws a random id, so that a restarted node never mistakes an answer to its predecessor for
     * one to itself, whatever its clock says. Such an answer may contain a start command that the
     * agent has acknowledged since and must not receive again.
     */
    private long newId() {
        return random.nextLong() >>> 1;
    }

    private void onTimeout(PendingRelay pending) {
        if (waiting.remove(pending.host, pending)) {
            outgoing.remove(pending);
            pending.answer(Response.unavailable("the leader did not answer in time"));
        }
    }

    private void refuseTooLarge(PendingRelay pending) {
        pending.answer(
                Response.unavailable(
                        "the heartbeat does not fit into a value of the state service (at most "
                                + limits.maxAcceptedValueBytes()
                                + " bytes)"));
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            loop.schedule(BATCH_MICROS, this::flush);
        }
    }

    /**
     * Sends a batch in each free slot. The other heartbeats wait for a slot, and the batches get
     * larger.
     */
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
        List<PendingRelay> batch = takeBatch();
        Map<String, Object> value =
                codec.encodeHeartbeats(
                        batchId,
                        loop.wallMicros(),
                        batch.stream().map(PendingRelay::heartbeat).toList());
        if (codec.isCompressing()) {
            updateCompressionRatio(batch, value);
            if (Cbor.maxJsonSize(value) > limits.maxAcceptedValueBytes()) {
                // The updated ratio makes the next batches small enough.
                resend(batch);
                return;
            }
        }
        slots.occupy(slot, batchId);
        write(slot, batchId, batch, value);
        loop.schedule(ANSWER_TIMEOUT_MICROS, () -> slots.free(slot, batchId));
    }

    private List<PendingRelay> takeBatch() {
        // Answers with start commands may be larger than the heartbeats, and must fit into the same
        // value.
        int maxBytes = limits.maxAcceptedValueBytes() / (codec.isCompressing() ? 1 : 2);
        List<PendingRelay> batch = new ArrayList<>();
        int bytes = RelayCodec.BATCH_OVERHEAD_BYTES;
        int plainBytes = 0;
        while (!outgoing.isEmpty()) {
            PendingRelay next = outgoing.peekFirst();
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

    private int estimatedBytes(PendingRelay pending) {
        return codec.isCompressing()
                ? (int) (pending.plainBytes * compressionRatio) + 1
                : pending.plainBytes;
    }

    private void updateCompressionRatio(List<PendingRelay> batch, Map<String, Object> value) {
        int plainBytes = 0;
        for (PendingRelay pending : batch) {
            plainBytes += pending.plainBytes;
        }
        double ratio = COMPRESSION_MARGIN * RelayCodec.compressedHeartbeatsSize(value) / plainBytes;
        compressionRatio = Math.max(MIN_COMPRESSION_RATIO, ratio);
    }

    private void write(
            int slot, long batchId, List<PendingRelay> batch, Map<String, Object> value) {
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
     * Queues the heartbeats of a batch that was too large, to be sent in smaller batches. A single
     * heartbeat that is too large can't be relayed.
     */
    private void resend(List<PendingRelay> batch) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            PendingRelay pending = batch.get(i);
            @SuppressWarnings("ReferenceEquality") // A newer heartbeat may have the same content.
            boolean superseded = waiting.get(pending.host) != pending;
            if (superseded) {
                continue;
            }
            if (batch.size() > 1) {
                outgoing.addFirst(pending);
            } else {
                waiting.remove(pending.host);
                refuseTooLarge(pending);
            }
        }
        scheduleFlush();
    }

    private void watchAnswers() {
        if (watching) {
            return;
        }
        watching = true;
        // The list returns the revision to watch from. Answers to earlier batches in it are ignored
        // because of their ids.
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

    private void onBatch(String key, Map<String, Object> value) {
        try {
            RelayCodec.AnswerBatch batch = RelayCodec.decodeAnswers(value);
            if (batch == null) {
                return;
            }
            long slot = Long.parseLong(key.substring(StoreKeys.relayPrefix(label).length()));
            slots.free((int) slot, batch.id());
            for (Object item : batch.items()) {
                onAnswer(RelayCodec.decodeAnswer(item));
            }
        } catch (MalformedMessageException | NumberFormatException e) {
            UnreadableRecords.log(key, e);
        }
    }

    private void onAnswer(RelayedAnswer answer) {
        PendingRelay pending = waiting.get(answer.host());
        if (pending != null && pending.heartbeat.id() == answer.heartbeatId()) {
            waiting.remove(answer.host());
            Consumer<Response> callback = pending.origin.answer();
            callback.accept(Response.cbor(answer.status(), Cbor.encode(answer.content())));
        }
    }
}
