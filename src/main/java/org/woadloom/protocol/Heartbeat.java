package org.woadloom.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A worker's report. {@code warningMicros} is -1 unless the cloud has given notice. */
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

    public static Heartbeat read(byte[] body) throws MalformedMessageException {
        return FieldReader.body(body, Heartbeat::read);
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
        long spotNotice = -1;
        List<TaskStatus> tasks = null;
        for (String name = fields.next(); name != null; name = fields.next()) {
            switch (name) {
                case "host" -> host = fields.text();
                case "addr" -> address = fields.text();
                case "hosttype" -> machineType = fields.text();
                case "yard" -> zone = fields.text();
                case "reclaimable" -> spot = fields.flag();
                case "tenure" -> incarnation = fields.count();
                case "tick" -> sequence = fields.count();
                case "epoch" -> fencingToken = fields.count();
                case "warningS" -> spotNotice = (long) (fields.amount() * 1e6);
                case "shards" -> {
                    List<TaskStatus> read = new ArrayList<>();
                    fields.maps(item -> read.add(TaskStatus.read(item)));
                    tasks = read;
                }
                default -> fields.skip();
            }
        }
        if (host == null
                || host.isEmpty()
                || host.length() > 100
                || host.indexOf(' ') >= 0
                || host.indexOf('/') >= 0) {
            throw new MalformedMessageException("host: expected a machine's name");
        }
        return new Heartbeat(
                host,
                FieldReader.required("addr", address, "text"),
                FieldReader.required("hosttype", machineType, "text"),
                FieldReader.required("yard", zone, "text"),
                spot,
                FieldReader.required("tenure", incarnation, "an integer"),
                FieldReader.required("tick", sequence, "an integer"),
                FieldReader.required("epoch", fencingToken, "an integer"),
                spotNotice,
                FieldReader.required("shards", tasks, "a list"));
    }

    /** True if this message was made after the one with the given tenure and tick. */
    public boolean isNewerThan(long otherTenure, long otherTick) {
        return incarnation != otherTenure ? incarnation > otherTenure : sequence > otherTick;
    }
}
