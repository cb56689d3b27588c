package org.woadloom.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A worker's report. {@code warningMicros} is -1 unless the cloud has given notice. */
public record Heartbeat(
        String host,
        String addr,
        String hosttype,
        String yard,
        boolean reclaimable,
        long tenure,
        long tick,
        long epoch,
        long warningMicros,
        List<TaskStatus> tasks) {

    public static Heartbeat read(byte[] body) throws MalformedMessageException {
        return FieldReader.body(body, Heartbeat::read);
    }

    private static Heartbeat read(FieldReader fields)
            throws IOException, MalformedMessageException {
        String host = null;
        String addr = null;
        String hosttype = null;
        String yard = null;
        boolean reclaimable = false;
        Long tenure = null;
        Long tick = null;
        Long epoch = null;
        long warning = -1;
        List<TaskStatus> tasks = null;
        for (String name = fields.next(); name != null; name = fields.next()) {
            switch (name) {
                case "host" -> host = fields.text();
                case "addr" -> addr = fields.text();
                case "hosttype" -> hosttype = fields.text();
                case "yard" -> yard = fields.text();
                case "reclaimable" -> reclaimable = fields.flag();
                case "tenure" -> tenure = fields.count();
                case "tick" -> tick = fields.count();
                case "epoch" -> epoch = fields.count();
                case "warningS" -> warning = (long) (fields.amount() * 1e6);
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
                FieldReader.required("addr", addr, "text"),
                FieldReader.required("hosttype", hosttype, "text"),
                FieldReader.required("yard", yard, "text"),
                reclaimable,
                FieldReader.required("tenure", tenure, "an integer"),
                FieldReader.required("tick", tick, "an integer"),
                FieldReader.required("epoch", epoch, "an integer"),
                warning,
                FieldReader.required("shards", tasks, "a list"));
    }

    /** True if this message was made after the one with the given tenure and tick. */
    public boolean newerThan(long otherTenure, long otherTick) {
        return tenure != otherTenure ? tenure > otherTenure : tick > otherTick;
    }
}
