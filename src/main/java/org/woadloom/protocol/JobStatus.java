package org.woadloom.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a user is told of a job.
 *
 * @param status one of the protocol's words, {@link #QUEUED} for one
 * @param done how many tasks are done, or {@link #NO_COUNT}
 * @param running how many tasks run; means nothing where {@code done} is not counted
 */
public record JobStatus(String jobId, String status, int done, int running) {
    public static final String QUEUED = "queued";
    public static final String CANCELLED = "cancelled";

    /** In place of a count of tasks that the answer does not carry. */
    public static final int NO_COUNT = -1;

    /** The names of the fields in the answers to users. */
    public static final class Field {
        public static final String JOB_ID = "uid";
        public static final String STATUS = "status";
        public static final String DONE = "done";
        public static final String RUNNING = "running";

        /** The jobs that this one waits for: in the answers to polls alone. */
        public static final String DEPENDENCIES = "awaits";

        private Field() {}
    }

    /** A status of which the counts are not known, or of no interest. */
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
