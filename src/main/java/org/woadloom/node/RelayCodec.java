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
 * The stored form of the batches in which heartbeats and their answers pass through the store. The
 * items are compressed once every node can read that.
 */
final class RelayCodec {
    /** A batch is read up to this length before compression: what is longer goes in the next. */
    static final int MAX_PLAIN_BYTES = CompressedList.MAX_BYTES / 2;

    /** What is stored around the items of a batch. */
    static final int BATCH_OVERHEAD_BYTES = 200;

    private static final String ID = "id";
    private static final String SENT_AT = "at";
    private static final String HEARTBEATS = "reports";
    private static final String ANSWERS = "answers";
    private static final String COMPRESSED_PREFIX = "packed-";
    private static final int HEARTBEAT_PARTS = 2;
    private static final int ANSWER_PARTS = 4;

    /**
     * One heartbeat on its way.
     *
     * @param id chosen at random by the sending node
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
     * A batch of heartbeats as read. Its items are decoded one by one, so that a malformed one does
     * not take with it those before it.
     *
     * @param sentWallMicros the sender's wall clock when it was written
     */
    record HeartbeatBatch(long id, long sentWallMicros, List<?> items) {}

    /** A batch of answers as read; it has the id of the batch of heartbeats that it replaced. */
    record AnswerBatch(long id, List<?> items) {}

    private final RolloutParticipant rollout;

    RelayCodec(RolloutParticipant rollout) {
        this.rollout = rollout;
    }

    /** True once every node can read compressed batches. */
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

    /** The size of the compressed items in a batch that was encoded while compressing. */
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

    /** Reads a batch of heartbeats; null where the value holds something else. */
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
            throw new MalformedMessageException("reports: expected id and report");
        }
        return new RelayedHeartbeat(id, parts.get(1));
    }

    /** Reads a batch of answers; null where the value holds something else. */
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
            throw new MalformedMessageException("answers: expected id, machine, status and body");
        }
        return new RelayedAnswer(heartbeatId, host, status.intValue(), parts.get(3));
    }

    private void putItems(Map<String, Object> value, String key, List<Object> items) {
        if (isCompressing()) {
            value.put(COMPRESSED_PREFIX + key, CompressedList.pack(items));
        } else {
            value.put(key, items);
        }
    }

    private static List<?> items(Map<String, Object> value, String key)
            throws MalformedMessageException {
        Fields fields = new Fields(value);
        if (fields.has(COMPRESSED_PREFIX + key)) {
            return CompressedList.unpack(fields.text(COMPRESSED_PREFIX + key));
        }
        return fields.has(key) ? fields.list(key) : null;
    }
}
