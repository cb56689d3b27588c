package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.JobStatus;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Permanent record of a job that has ended and no longer has tasks on any machine.
 *
 * <p>Version 1 does not write {@code endedWallMicros} and {@code isService} and ignores them on
 * read.
 *
 * @param completedCount number of tasks that completed
 * @param endedWallMicros wall-clock time at which the job ended, 0 if unknown
 */
public record FinalRecord(
        String jobId,
        boolean cancelled,
        int completedCount,
        long endedWallMicros,
        boolean isService) {
    private static final String STATUS = "status";
    private static final String DONE = "done";
    private static final String FINISHED_AT = "at";
    private static final String SERVICE = "service";

    private static final String STATUS_CANCELLED = "cancelled";
    private static final String STATUS_DONE = "done";

    /** Returns the status reported to users. */
    public JobStatus status() {
        return new JobStatus(jobId, statusText(), completedCount, 0);
    }

    private String statusText() {
        return cancelled ? STATUS_CANCELLED : STATUS_DONE;
    }

    /** Encodes the record for the store. */
    public Map<String, Object> toMap(RecordFormat format) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(STATUS, statusText());
        map.put(DONE, (long) completedCount);
        if (format == RecordFormat.COMPACT) {
            map.put(FINISHED_AT, endedWallMicros);
            if (isService) {
                map.put(SERVICE, true);
            }
        }
        return map;
    }

    /** Decodes a stored record of either format. */
    public static FinalRecord parse(String jobId, Map<String, Object> map)
            throws MalformedMessageException {
        Fields fields = new Fields(map);
        return new FinalRecord(
                jobId,
                fields.text(STATUS).equals(STATUS_CANCELLED),
                (int) fields.integerOr(DONE, 0),
                fields.integerOr(FINISHED_AT, 0),
                fields.flagOr(SERVICE, false));
    }
}
