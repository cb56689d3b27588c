package org.woadloom.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The status of a job as reported to users.
 *
 * @param status a status word of the protocol, such as {@link #QUEUED}
 * @param done the number of tasks that are done, or {@link #NO_COUNT}
 * @param running the number of running tasks; undefined if {@code done} is {@link #NO_COUNT}
 */
public record JobStatus(String jobId, String status, int done, int running) {
    public static final String QUEUED = "queued";
    public static final String CANCELLED = "cancelled";

    /** The value of a count that the answer does not contain. */
    public static final int NO_COUNT = -1;

    /** Field names in answers to users. */
    public static final class Field {
        public static final String JOB_ID = "uid";
        public static final String STATUS = "status";
        public static final String DONE = "done";
        public static final String RUNNING = "running";

        /** The jobs that this one waits for; only in answers to polls. */
        public static final String DEPENDENCIES = "awaits";

        private Field() {}
    }

    /** Creates a status without task counts. */
    public static JobStatus withoutCounts(String jobId, String status) {
        return new JobStatus(jobId, status, NO_COUNT, 0);
    }

    public boolean isCancelled() {
        return status.equals(CANCELLED);
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(Field.JOB_ID, jobId);
        map.put(Field.STATUS, status);
        if (done >= 0) {
            map.put(Field.DONE, (long) done);
            map.put(Field.RUNNING, (long) running);
        }
        return map;
    }

    public static JobStatus parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        return new JobStatus(
                fields.text(Field.JOB_ID),
                fields.text(Field.STATUS),
                (int) fields.integerOr(Field.DONE, NO_COUNT),
                (int) fields.integerOr(Field.RUNNING, NO_COUNT));
    }
}
