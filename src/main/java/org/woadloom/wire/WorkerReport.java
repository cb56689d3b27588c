package org.woadloom.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A worker's report. {@code warningMicros} is -1 unless the cloud has given notice. */
public record WorkerReport(String host, String addr, String hosttype, String yard, boolean reclaimable, long tenure,
        long tick, long epoch, long warningMicros, List<TaskReport> tasks) {

    public static WorkerReport parse(Map<String, Object> map) throws WireException {
        Fields f = new Fields(map);
        String host = f.text("host");
        if (host.isEmpty() || host.length() > 100 || host.indexOf(' ') >= 0 || host.indexOf('/') >= 0) {
            throw new WireException("host: expected a machine's name");
        }
        List<TaskReport> tasks = new ArrayList<>();
        for (Object item : f.list("shards")) {
            tasks.add(TaskReport.parse(item));
        }
        long warning = f.has("warningS") ? (long) (f.amount("warningS") * 1e6) : -1;
        return new WorkerReport(host, f.text("addr"), f.text("hosttype"), f.text("yard"), f.flagOr("reclaimable", false),
                f.count("tenure"), f.count("tick"), f.count("epoch"), warning, List.copyOf(tasks));
    }

    /** True if this message was made after the one with the given tenure and tick. */
    public boolean newerThan(long otherTenure, long otherTick) {
        return tenure != otherTenure ? tenure > otherTenure : tick > otherTick;
    }
}
