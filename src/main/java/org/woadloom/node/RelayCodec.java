package org.woadloom.node;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.RecordFormat;

/**
 * Encodes and decodes the batches in which heartbeats and their answers pass through the store. The
 * items are compressed once every node can decompress them.
 */
final class RelayCodec {
    /**
     * The maximum size of a batch before compression; further heartbeats go into the next batch.
     */
    static final int MAX_PLAIN_BYTES = CompressedList.MAX_UNCOMPRESSED_BYTES / 2;

    /** The estimated size of a stored batch without its items. */
    static final int BATCH_OVERHEAD_BYTES = 200;

    private static final String ID = "id";
    private static final String SENT_AT = "at";
    private static final String HEARTBEATS = "reports";
    private static final String ANSWERS = "answers";
    private static final String COMPRESSED_PREFIX = "packed-";
    private static final int HEARTBEAT_PARTS = 2;
    private static final int ANSWER_PARTS = 4;

    /**
     * A heartbeat that is relayed through the store.
     *
     * @param id a random number that the sending node chooses
     * @param content the decoded body
     */
    record RelayedHeartbeat(long id, Object content) {
        String host() throws MalformedMessageException {
            return Fields.of(content, "report").text("host");
        }
    }

    /** The leader's answer to one heartbeat. */
    record RelayedAnswer(long heartbeatId, String host, int status, Object content) {}

    /**
     * A decoded batch of heartbeats. Its items are decoded one by one, so that a malformed item
     * does not affect those before it.
     *
     * @param sentWallMicros the sender's wall clock time when the batch was written
     */
    record HeartbeatBatch(long id, long sentWallMicros, List<?> items) {}

    /** A decoded batch of answers; its id is that of the batch of heartbeats that it replaced. */
    record AnswerBatch(long id, List<?> items) {}

    private final RolloutParticipant rollout;

    RelayCodec(RolloutParticipant rollout) {
        this.rollout = rollout;
    }

    /** True once every node can decompress batches. */
    boolean isCompressing() {
        return rollout.format() == RecordFormat.COMPACT;
    }

    Map<String, Object> encodeHeartbeats(
            long id, long sentWallMicros, List<RelayedHeartbeat> heartbeats) {
        List<Object> items = new ArrayList<>();
        for (RelayedHeartbeat heartbeat : heartbeats) {
            items.add(Arrays.asList(heartbeat.id(), heartbeat.content()));
        }
        Map<String, Object> value = new LinkedHashMap<>();
        value.put(ID, id);
        value.put(SENT_AT, sentWallMicros);
        putItems(value, HEARTBEATS, items);
        return value;
    }

    /** The size of the compressed items in an encoded batch; the batch must be compressed. */
    static int compressedHeartbeatsSize(Map<String, Object> value) {
        return Cbor.maxJsonSize(value.get(COMPRESSED_PREFIX + HEARTBEATS));
    }

    Map<String, Object> encodeAnswers(long id, List<RelayedAnswer> answers) {
        Map<String, Object> value = new LinkedHashMap<>();
        value.put(ID, id);
        putItems(value, ANSWERS, answerItems(answers));
        return value;
    }

    /** The size of the answers before compression. */
    static int plainAnswersSize(List<RelayedAnswer> answers) {
        return Cbor.maxJsonSize(answerItems(answers));
    }

    private static List<Object> answerItems(List<RelayedAnswer> answers) {
        List<Object> items = new ArrayList<>();
        for (RelayedAnswer answer : answers) {
            items.add(
                    Arrays.asList(
                            answer.heartbeatId(),
                            answer.host(),
                            (long) answer.status(),
                            answer.content()));
        }
        return items;
    }

    /** Decodes a batch of heartbeats; null if the value holds something else. */
    static HeartbeatBatch decodeHeartbeats(Map<String, Object> value)
            throws MalformedMessageException {
        List<?> items = items(value, HEARTBEATS);
        if (items == null) {
            return null;
        }
        Fields fields = new Fields(value);
        return new HeartbeatBatch(fields.integer(ID), fields.integer(SENT_AT), items);
    }

    static RelayedHeartbeat decodeHeartbeat(Object item) throws MalformedMessageException {
        if (!(item instanceof List<?> parts)
                || parts.size() != HEARTBEAT_PARTS
                || !(parts.get(0) instanceof Long id)) {
            throw new MalformedMessageException("reports: expected items of id and heartbeat");
        }
        return new RelayedHeartbeat(id, parts.get(1));
    }

    /** Decodes a batch of answers; null if the value holds something else. */
    static AnswerBatch decodeAnswers(Map<String, Object> value) throws MalformedMessageException {
        List<?> items = items(value, ANSWERS);
        return items == null ? null : new AnswerBatch(new Fields(value).integer(ID), items);
    }

    static RelayedAnswer decodeAnswer(Object item) throws MalformedMessageException {
        if (!(item instanceof List<?> parts)
                || parts.size() != ANSWER_PARTS
                || !(parts.get(0) instanceof Long heartbeatId)
                || !(parts.get(1) instanceof String host)
                || !(parts.get(2) instanceof Long status)) {
            throw new MalformedMessageException(
                    "answers: expected items of id, host, status and body");
        }
        return new RelayedAnswer(heartbeatId, host, status.intValue(), parts.get(3));
    }

    private void putItems(Map<String, Object> value, String key, List<Object> items) {
        if (isCompressing()) {
            value.put(COMPRESSED_PREFIX + key, CompressedList.compress(items));
        } else {
            value.put(key, items);
        }
    }

    private static List<?> items(Map<String, Object> value, String key)
            throws MalformedMessageException {
        Fields fields = new Fields(value);
        if (fields.has(COMPRESSED_PREFIX + key)) {
            return CompressedList.decompress(fields.text(COMPRESSED_PREFIX + key));
        }
        return fields.has(key) ? fields.list(key) : null;
    }
}
