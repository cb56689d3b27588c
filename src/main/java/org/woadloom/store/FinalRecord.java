package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.JobStatus;
import org.woadloom.protocol.MalformedMessageException;

/**
 * What is kept of a job for ever once it is over and none of its tasks can be on a machine. Version
 * 1 wrote neither when that was nor that the job was a service, and ignores both.
 *
 * @param completedCount how many of its tasks were completed
 * @param endedWallMicros when it was over, by the time of day, 0 where that is not known
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

    /** What users are told of the job. */
    public JobStatus status() {
        return new JobStatus(jobId, statusText(), completedCount, 0);
    }

    private String statusText() {
        return cancelled ? STATUS_CANCELLED : STATUS_DONE;
    }

    /** The stored form. */
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

    /** Reads the stored form of either format. */
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
