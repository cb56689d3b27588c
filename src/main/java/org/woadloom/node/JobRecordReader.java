package org.woadloom.node;

import java.util.Map;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.JobRecord;
import org.woadloom.store.StoreKeys;

/**
 * Parses stored jobs into scheduler events, and reports the record format of each to the rollout.
 */
final class JobRecordReader {
    /**
     * The stored field that shows a cancellation even if the rest of the record can't be parsed.
     */
    private static final String CANCELLED = "cancelled";

    private final RolloutParticipant rollout;

    JobRecordReader(RolloutParticipant rollout) {
        this.rollout = rollout;
    }

    JobRecord parse(Map<String, Object> value) throws MalformedMessageException {
        rollout.onFormatSeen(JobRecord.formatOf(value));
        return JobRecord.parse(value);
    }

    /**
     * The scheduler event for a stored job: its record, or that it can't be parsed. The scheduler
     * leaves a record alone that a later version wrote, and replaces a damaged one.
     */
    SchedulerEvent toEvent(String key, Map<String, Object> value, long revision) {
        try {
            return new SchedulerEvent.JobStored(parse(value), revision);
        } catch (MalformedMessageException e) {
            UnreadableRecords.log(key, e);
        }
        String jobId = key.substring(StoreKeys.JOB_PREFIX.length());
        if (JobRecord.isOfLaterVersion(value)) {
            return new SchedulerEvent.JobReadFailed(jobId);
        }
        boolean cancelled = value != null && Boolean.TRUE.equals(value.get(CANCELLED));
        return new SchedulerEvent.JobRecordDamaged(jobId, revision, cancelled);
    }
}
