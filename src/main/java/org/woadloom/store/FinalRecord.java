package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.JobStatus;
import org.woadloom.protocol.MalformedMessageException;

/**
 * What is kept of a job for ever once it is over and none of its tasks can be on a machine. Version
 * 1 wrote neither when that was (0 here) nor that the job was a service, and passes over both.
 */
public record FinalRecord(
        String jobId, boolean cancelled, int done, long wallMicros, boolean service) {
    public JobStatus status() {
        return new JobStatus(jobId, cancelled ? "cancelled" : "done", done, 0);
    }

    public Map<String, Object> toMap(RecordFormat format) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("status", cancelled ? "cancelled" : "done");
        map.put("done", (long) done);
        if (format == RecordFormat.COMPACT) {
            map.put("at", wallMicros);
            if (service) {
                map.put("service", true);
            }
        }
        return map;
    }

    public static FinalRecord parse(String jobId, Map<String, Object> map)
            throws MalformedMessageException {
        Fields f = new Fields(map);
        return new FinalRecord(
                jobId,
                f.text("status").equals("cancelled"),
                (int) f.integerOr("done", 0),
                f.integerOr("at", 0),
                f.flagOr("service", false));
    }
}
