package org.woadloom.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.http.Response;
import org.woadloom.net.EventLoop;
import org.woadloom.node.RelayCodec.RelayedAnswer;
import org.woadloom.node.RelayCodec.RelayedHeartbeat;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;
import org.woadloom.store.StoreLimits;

/**
 * The leader's side of {@link StoreRelay}: has relayed heartbeats decided, and writes the answers.
 */
final class StoreRelayLeader {
    private static final Logger LOG = LoggerFactory.getLogger(StoreRelayLeader.class);
    private static final long WATCH_TIMEOUT_MICROS = 10_000_000;
    private static final long RETRY_MICROS = 300_000;

    /**
     * Batches older than this are ignored, as nobody waits for their answers any more. The age is
     * the difference of two nodes' wall clocks, which differ slightly.
     */
    private static final long STALE_MICROS = 10_000_000;

    private static final long NO_TERM = 0;

    /** Decides a heartbeat. Called only while this node leads. */
    interface Decider {
        void decide(byte[] heartbeat, Consumer<Response> answer);
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreLimits limits;
    private final RelayCodec codec;
    private final Decider decider;
    private long leadingTerm = NO_TERM;

    StoreRelayLeader(
            EventLoop loop,
            StoreClient store,
            StoreLimits limits,
            RolloutParticipant rollout,
            Decider decider) {
        this.loop = loop;
        this.store = store;
        this.limits = limits;
        this.codec = new RelayCodec(rollout);
        this.decider = decider;
    }

    /** Answers batches until the term ends. */
    void start(long term) {
        leadingTerm = term;
        listAndWatch(term);
    }

    void stop() {
        leadingTerm = NO_TERM;
    }

    private void listAndWatch(long term) {
        store.list(
                RequestPriority.URGENT,
                StoreKeys.RELAY_PREFIX,
                (result, entries, storeRevision) -> {
                    if (leadingTerm != term) {
                        return;
                    }
                    if (result != Result.OK) {
                        loop.schedule(RETRY_MICROS, () -> listAndWatch(term));
                        return;
                    }
                    entries.forEach(entry -> onBatch(entry.key(), entry.value()));
                    watch(term, storeRevision);
                });
    }

    private void watch(long term, long sinceRevision) {
        store.watch(
                StoreKeys.RELAY_PREFIX,
                sinceRevision,
                WATCH_TIMEOUT_MICROS,
                (result, events, storeRevision) -> {
                    if (leadingTerm != term) {
                        return;
                    }
                    if (result != Result.OK) {
                        loop.schedule(RETRY_MICROS, () -> listAndWatch(term));
                        return;
                    }
                    for (StoreClient.Event event : events) {
                        if (event.value() != null) {
                            onBatch(event.key(), event.value());
                        }
                    }
                    watch(term, Math.max(sinceRevision, storeRevision));
                });
    }

    private void onBatch(String key, Map<String, Object> value) {
        try {
            RelayCodec.HeartbeatBatch batch = RelayCodec.decodeHeartbeats(value);
            if (batch == null || isStale(batch) || batch.items().isEmpty()) {
                return;
            }
            BatchReply reply = new BatchReply(key, batch.id(), batch.items().size());
            for (Object item : batch.items()) {
                RelayedHeartbeat heartbeat = RelayCodec.decodeHeartbeat(item);
                String host = heartbeat.host();
                decider.decide(
                        Cbor.encode(heartbeat.content()),
                        response -> reply.add(heartbeat.id(), host, response));
            }
        } catch (MalformedMessageException e) {
            UnreadableRecords.log(key, e);
        }
    }

    private boolean isStale(RelayCodec.HeartbeatBatch batch) {
        return Math.abs(loop.wallMicros() - batch.sentWallMicros()) > STALE_MICROS;
    }

    /** Collects the answers to one batch, and writes them once all have arrived. */
    private final class BatchReply {
        private final String key;
        private final long batchId;
        private final List<RelayedAnswer> answers = new ArrayList<>();
        private int missing;

        BatchReply(String key, long batchId, int missing) {
            this.key = key;
            this.batchId = batchId;
            this.missing = missing;
        }

        void add(long heartbeatId, String host, Response response) {
            answers.add(new RelayedAnswer(heartbeatId, host, response.status(), content(response)));
            missing--;
            if (missing == 0) {
                write(key, batchId, answers);
            }
        }
    }

    private static Object content(Response response) {
        try {
            return Cbor.decodeMap(response.body());
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes as many answers as fit into a value; the other agents send another heartbeat. */
    private void write(String key, long batchId, List<RelayedAnswer> allAnswers) {
        List<RelayedAnswer> answers = allAnswers;
        Map<String, Object> encoded = codec.encodeAnswers(batchId, answers);
        while (!answers.isEmpty() && isTooLarge(encoded, answers)) {
            answers = answers.subList(0, answers.size() * 3 / 4);
            encoded = codec.encodeAnswers(batchId, answers);
        }
        Map<String, Object> value = encoded;
        int answerCount = answers.size();
        store.txn(
                RequestPriority.URGENT,
                List.of(),
                List.of(Change.put(key, value)),
                (result, storeRevision, failed) -> {
                    if (result == Result.BAD) {
                        limits.onValueRefused(Cbor.maxJsonSize(value));
                    }
                    if (result != Result.OK) {
                        LOG.debug(
                                "event=relay_write_failed answers={} result={}",
                                answerCount,
                                result);
                    }
                });
    }

    private boolean isTooLarge(Map<String, Object> value, List<RelayedAnswer> answers) {
        return Cbor.maxJsonSize(value) > limits.maxAcceptedValueBytes()
                || RelayCodec.plainAnswersSize(answers) > RelayCodec.MAX_PLAIN_BYTES;
    }
}
