package org.woadloom.store;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.JobStatus;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Durable record of a job that has not ended, or whose tasks may still be on machines.
 *
 * @param readyWallMicros wall-clock time at which the last dependency completed, 0 for a job
 *     without dependencies or with pending ones; once it is set, the description lists no
 *     dependencies
 * @param completedTasks indexes of the completed tasks
 * @param runningCount number of running tasks reported to users
 * @param term term of the leader that wrote the record, 0 for a user's submission
 * @param writeSequence sequence number of the write within the term; lets a leader recognize its
 *     own write when the store's answer was lost
 */
public record JobRecord(
        JobDescription description,
        long submittedWallMicros,
        long readyWallMicros,
        boolean cancelled,
        BitSet completedTasks,
        List<RecordedAttempt> attempts,
        int runningCount,
        long term,
        long writeSequence) {

    /** Version number of the compact format. */
    private static final int COMPACT_FORMAT = 2;

    // Stored field names. "format" and "progress" occur only in the compact format, "done" and
    // "placed" only in the plain format.
    private static final String FORMAT_VERSION = "format";
    private static final String DESCRIPTION = "job";
    private static final String SUBMITTED_AT = "at";
    private static final String READY_AT = "ready";
    private static final String CANCELLED = "cancelled";
    private static final String PROGRESS = "progress";
    private static final String DONE = "done";
    private static final String ATTEMPTS = "placed";
    private static final String RUNNING = "running";
    private static final String TERM = "term";
    private static final String VERSION = "version";

    /** Field of the description that is dropped from the record of a cancelled job. */
    private static final String DESCRIPTION_MACHINE_TYPES = "hosttypes";

    /** Tasks that may be on one machine under the same attempt number. */
    public record RecordedAttempt(String host, long attempt, BitSet tasks) {}

    /** Returns the initial record of a submitted job. */
    public static JobRecord accepted(JobDescription description, long wallMicros) {
        return new JobRecord(description, wallMicros, 0, false, new BitSet(), List.of(), 0, 0, 0);
    }

    /**
     * Returns the record after a user's cancellation. The leader stops the job's tasks afterwards.
     */
    public JobRecord withCancellation() {
        return new JobRecord(
                description,
                submittedWallMicros,
                readyWallMicros,
                true,
                completedTasks,
                attempts,
                0,
                term,
                writeSequence);
    }

    /** Returns true once all tasks have completed. A service never completes. */
    public boolean isComplete() {
        return !description.isService() && completedTasks.cardinality() == description.taskCount();
    }

    /** Returns the status reported to users as long as this record is in the store. */
    public JobStatus status() {
        return new JobStatus(
                description.jobId(), statusText(), completedTasks.cardinality(), runningCount);
    }

    private String statusText() {
        // Checked first: a job can only be cancelled while it is incomplete, and once a
        // cancellation has been confirmed to the user the status must not change to "done".
        if (cancelled) {
            return "cancelled";
        }
        if (isComplete()) {
            return "done";
        }
        return runningCount > 0 ? "running" : "queued";
    }

    /** Encodes the record for the store. */
    public Map<String, Object> toMap(RecordFormat format) {
        return format == RecordFormat.COMPACT ? toCompactMap() : toPlainMap();
    }

    private Map<String, Object> toCompactMap() {
        Map<String, Object> job = description.toMap();
        job.values().removeIf(value -> value == null || Boolean.FALSE.equals(value));
        if (cancelled) {
            // The machine types are only needed to place tasks, and a cancelled record must always
            // fit into the value size limit.
            job.remove(DESCRIPTION_MACHINE_TYPES);
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(FORMAT_VERSION, (long) COMPACT_FORMAT);
        map.put(DESCRIPTION, job);
        map.put(SUBMITTED_AT, submittedWallMicros);
        if (readyWallMicros != 0) {
            map.put(READY_AT, readyWallMicros);
        }
        if (cancelled) {
            map.put(CANCELLED, true);
        }
        map.put(PROGRESS, TaskProgressCodec.encode(completedTasks, attempts));
        map.put(RUNNING, (long) runningCount);
        map.put(TERM, term);
        map.put(VERSION, writeSequence);
        return map;
    }

    /** Encodes the format that version 1 reads and writes, which has no dependencies. */
    private Map<String, Object> toPlainMap() {
        if (!description.dependencies().isEmpty() || readyWallMicros != 0) {
            throw new IllegalStateException(
                    "job "
                            + description.jobId()
                            + " has or had dependencies, which the plain format cannot represent");
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(DESCRIPTION, description.toMap());
        map.put(SUBMITTED_AT, submittedWallMicros);
        if (cancelled) {
            map.put(CANCELLED, true);
        }
        map.put(DONE, TaskRanges.encode(completedTasks));
        List<Object> encodedAttempts = new ArrayList<>();
        for (RecordedAttempt recorded : attempts) {
            List<Object> item = new ArrayList<>();
            item.add(recorded.host());
            item.add(recorded.attempt());
            item.add(TaskRanges.encode(recorded.tasks()));
            encodedAttempts.add(item);
        }
        map.put(ATTEMPTS, encodedAttempts);
        map.put(RUNNING, (long) runningCount);
        map.put(TERM, term);
        map.put(VERSION, writeSequence);
        return map;
    }

    /**
     * Returns the format of a stored record. A compact record shows that the cluster had already
     * switched to the compact format.
     */
    public static RecordFormat formatOf(Map<String, Object> map) {
        return map.containsKey(FORMAT_VERSION) ? RecordFormat.COMPACT : RecordFormat.PLAIN;
    }

    /**
     * Returns true for a record in a format of a later release, which must not be treated as
     * damaged.
     */
    public static boolean isOfLaterVersion(Map<String, Object> map) {
        return map != null
                && map.get(FORMAT_VERSION) instanceof Long format
                && format > COMPACT_FORMAT;
    }

    /**
     * Returns true for a record written by the leader of the given term, which that leader
     * therefore already knows. A user's cancellation keeps the term of the record, so cancelled
     * records are excluded.
     */
    public static boolean isWrittenInTerm(long term, Map<String, Object> map) {
        return map.get(TERM) instanceof Long written
                && written == term
                && !map.containsKey(CANCELLED);
    }

    /** Decodes a stored record of either format. */
    @SuppressWarnings("unchecked") // Cbor decodes no keys but texts.
    public static JobRecord parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        if (!(map.get(DESCRIPTION) instanceof Map<?, ?> job)) {
            throw new MalformedMessageException(DESCRIPTION + ": expected a map");
        }
        JobDescription description = JobDescription.parse((Map<String, Object>) job);
        TaskProgressCodec.Decoded progress =
                formatOf(map) == RecordFormat.COMPACT
                        ? parseCompact(fields, description)
                        : parsePlain(fields, description);
        return new JobRecord(
                description,
                fields.integer(SUBMITTED_AT),
                fields.integerOr(READY_AT, 0),
                fields.flagOr(CANCELLED, false),
                progress.completedTasks(),
                progress.attempts(),
                (int) fields.integerOr(RUNNING, 0),
                fields.integerOr(TERM, 0),
                fields.integerOr(VERSION, 0));
    }

    private static TaskProgressCodec.Decoded parseCompact(Fields fields, JobDescription description)
            throws MalformedMessageException {
        long format = fields.integer(FORMAT_VERSION);
        if (format != COMPACT_FORMAT) {
            throw new MalformedMessageException(
                    "format: version " + format + ", expected " + COMPACT_FORMAT);
        }
        return TaskProgressCodec.decode(fields.text(PROGRESS), description.taskCount());
    }

    private static TaskProgressCodec.Decoded parsePlain(Fields fields, JobDescription description)
            throws MalformedMessageException {
        List<RecordedAttempt> attempts = new ArrayList<>();
        for (Object item : fields.list(ATTEMPTS)) {
            if (!(item instanceof List<?> parts)
                    || parts.size() != 3
                    || !(parts.get(0) instanceof String host)
                    || !(parts.get(1) instanceof Long attempt)
                    || !(parts.get(2) instanceof List<?> tasks)) {
                throw new MalformedMessageException(
                        ATTEMPTS + ": expected lists of host, attempt and task ranges");
            }
            attempts.add(
                    new RecordedAttempt(
                            host, attempt, TaskRanges.decode(tasks, description.taskCount())));
        }
        return new TaskProgressCodec.Decoded(
                TaskRanges.decode(fields.list(DONE), description.taskCount()), attempts);
    }
}
