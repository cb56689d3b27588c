package org.woadloom.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An agent's heartbeat: the state of its machine and of all of the machine's tasks.
 *
 * @param incarnation increases with each start of the agent process
 * @param sequence increases with each heartbeat of an incarnation
 * @param fencingToken the highest fencing token that the agent has seen
 * @param spotNoticeMicros the time from this heartbeat until the cloud reclaims the spot machine;
 *     {@link #NO_SPOT_NOTICE} if no reclaim was announced
 */
public record Heartbeat(
        String host,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long fencingToken,
        long spotNoticeMicros,
        List<TaskStatus> tasks) {

    /** The value of {@link #spotNoticeMicros} while the cloud has not announced a reclaim. */
    public static final long NO_SPOT_NOTICE = -1;

    private static final int MAX_HOST_LENGTH = 100;
    private static final double MICROS_PER_SECOND = 1e6;

    /** Field names in the body of a heartbeat. */
    public static final class Field {
        public static final String HOST = "host";
        static final String ADDRESS = "addr";
        static final String MACHINE_TYPE = "hosttype";
        static final String ZONE = "yard";
        static final String SPOT = "reclaimable";
        static final String INCARNATION = "tenure";
        static final String SEQUENCE = "tick";
        static final String FENCING_TOKEN = "epoch";
        static final String SPOT_NOTICE_SECONDS = "warningS";
        static final String TASKS = "shards";

        private Field() {}
    }

    /** The fields that are read from the body of a heartbeat. */
    public static final KnownFields KNOWN_FIELDS =
            KnownFields.of(
                            Field.HOST,
                            Field.ADDRESS,
                            Field.MACHINE_TYPE,
                            Field.ZONE,
                            Field.SPOT,
                            Field.INCARNATION,
                            Field.SEQUENCE,
                            Field.FENCING_TOKEN,
                            Field.SPOT_NOTICE_SECONDS)
                    .with(Field.TASKS, TaskStatus.KNOWN_FIELDS);

    public static Heartbeat read(byte[] body) throws MalformedMessageException {
        return FieldReader.parseBody(body, KNOWN_FIELDS, Heartbeat::read);
    }

    private static Heartbeat read(FieldReader fields)
            throws IOException, MalformedMessageException {
        String host = null;
        String address = null;
        String machineType = null;
        String zone = null;
        boolean spot = false;
        Long incarnation = null;
        Long sequence = null;
        Long fencingToken = null;
        long spotNoticeMicros = NO_SPOT_NOTICE;
        List<TaskStatus> tasks = null;
        for (String name = fields.next(); name != null; name = fields.next()) {
            switch (name) {
                case Field.HOST -> host = fields.text();
                case Field.ADDRESS -> address = fields.text();
                case Field.MACHINE_TYPE -> machineType = fields.text();
                case Field.ZONE -> zone = fields.text();
                case Field.SPOT -> spot = fields.flag();
                case Field.INCARNATION -> incarnation = fields.nonNegativeInteger();
                case Field.SEQUENCE -> sequence = fields.nonNegativeInteger();
                case Field.FENCING_TOKEN -> fencingToken = fields.nonNegativeInteger();
                case Field.SPOT_NOTICE_SECONDS ->
                        spotNoticeMicros = (long) (fields.nonNegativeNumber() * MICROS_PER_SECOND);
                case Field.TASKS -> {
                    List<TaskStatus> parsed = new ArrayList<>();
                    fields.forEachMap(item -> parsed.add(TaskStatus.read(item)));
                    tasks = parsed;
                }
                default -> throw new IllegalStateException(name);
            }
        }
        if (host == null || !isHostName(host)) {
            throw new MalformedMessageException(
                    Field.HOST
                            + ": expected 1 to "
                            + MAX_HOST_LENGTH
                            + " characters without space and slash");
        }
        return new Heartbeat(
                host,
                FieldReader.required(Field.ADDRESS, address, "text"),
                FieldReader.required(Field.MACHINE_TYPE, machineType, "text"),
                FieldReader.required(Field.ZONE, zone, "text"),
                spot,
                FieldReader.required(Field.INCARNATION, incarnation, "an integer"),
                FieldReader.required(Field.SEQUENCE, sequence, "an integer"),
                FieldReader.required(Field.FENCING_TOKEN, fencingToken, "an integer"),
                spotNoticeMicros,
                FieldReader.required(Field.TASKS, tasks, "a list"));
    }

    /** Host names become part of store keys and log lines, so they must not contain separators. */
    private static boolean isHostName(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_HOST_LENGTH
                && text.indexOf(' ') < 0
                && text.indexOf('/') < 0;
    }

    /** Whether this heartbeat is newer than the one with the given incarnation and sequence. */
    public boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return incarnation != otherIncarnation
                ? incarnation > otherIncarnation
                : sequence > otherSequence;
    }
}
