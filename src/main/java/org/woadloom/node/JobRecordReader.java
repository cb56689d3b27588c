package org.woadloom.node;

import java.util.Map;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.JobRecord;
import org.woadloom.store.StoreKeys;

/** Turns stored jobs into the scheduler's events, and notes the format in which they are stored. */
final class JobRecordReader {
    /** The stored field that tells of a cancellation even where the rest can't be read. */
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
     * What the scheduler is told of a stored job: the record, or that it can't be read. A record
     * that a later version wrote is left as it is; a damaged one is replaced.
     */
    SchedulerEvent toEvent(String path, Map<String, Object> value, long revision) {
        try {
            return new SchedulerEvent.JobStored(parse(value), revision);
        } catch (MalformedMessageException e) {
            UnreadableRecords.log(path, e);
        }
        String jobId = path.substring(StoreKeys.JOB_PREFIX.length());
        if (JobRecord.isOfLaterVersion(value)) {
            return new SchedulerEvent.JobReadFailed(jobId);
        }
        boolean cancelled = value != null && Boolean.TRUE.equals(value.get(CANCELLED));
        return new SchedulerEvent.JobRecordDamaged(jobId, revision, cancelled);
    }
}
