package org.woadloom.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a user is told of a job. {@code done} and {@code running} are -1 where the answer carries no
 * counts.
 */
public record JobStatus(String jobId, String status, int done, int running) {
    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", jobId);
        map.put("status", status);
        if (done >= 0) {
            map.put("done", (long) done);
            map.put("running", (long) running);
        }
        return map;
    }

    public static JobStatus parse(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        return new JobStatus(
                f.text("uid"),
                f.text("status"),
                (int) f.integerOr("done", -1),
                (int) f.integerOr("running", -1));
    }
}
