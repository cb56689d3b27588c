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
 * The one durable record of a job that is not over, or that may still have tasks on machines.
 *
 * @param readyWallMicros when the last of its dependencies was done, 0 for a job that has none or
 *     still waits; once it is set, the description has no dependencies any more
 * @param completedTasks the tasks that are completed
 * @param runningCount how many tasks users are told to be running
 * @param term the term of the leader that wrote it, 0 for a user's submission
 * @param writeSequence which of that leader's writes this is, so that a write whose answer was lost
 *     can be recognised
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

    /** The version of the compact format. */
    private static final int FORMAT = 2;

    // Stored names; "format" and "progress" are of the compact format, "done" and "placed" of the
    // plain one.
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

    /** The field of the description that a cancelled job needs no more. */
    private static final String DESCRIPTION_MACHINE_TYPES = "hosttypes";

    /** The tasks that may be on a machine under one attempt number. */
    public record RecordedAttempt(String host, long attempt, BitSet tasks) {}

    /** The first record of a submitted job. */
    public static JobRecord accepted(JobDescription description, long wallMicros) {
        return new JobRecord(description, wallMicros, 0, false, new BitSet(), List.of(), 0, 0, 0);
    }

    /** The record as a user's cancellation leaves it; the leader stops its tasks later. */
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

    /** True once all tasks are done; a service never is. */
    public boolean isComplete() {
        return !description.isService() && completedTasks.cardinality() == description.taskCount();
    }

    /** What users are told while this record stands. */
    public JobStatus status() {
        return new JobStatus(
                description.jobId(), statusText(), completedTasks.cardinality(), runningCount);
    }

    private String statusText() {
        // A record is marked cancelled only while it is incomplete, and the confirmed status must
        // stay.
        if (cancelled) {
            return "cancelled";
        }
        if (isComplete()) {
            return "done";
        }
        return runningCount > 0 ? "running" : "queued";
    }

    /** The stored form. */
    public Map<String, Object> toMap(RecordFormat format) {
        return format == RecordFormat.COMPACT ? toCompactMap() : toPlainMap();
    }

    private Map<String, Object> toCompactMap() {
        Map<String, Object> job = description.toMap();
        job.values().removeIf(value -> value == null || Boolean.FALSE.equals(value));
        if (cancelled) {
            // None of its tasks will be placed any more, and a cancellation must always fit.
            job.remove(DESCRIPTION_MACHINE_TYPES);
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(FORMAT_VERSION, (long) FORMAT);
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

    /** As version 1 reads and writes it; it knows no dependencies. */
    private Map<String, Object> toPlainMap() {
        if (!description.dependencies().isEmpty() || readyWallMicros != 0) {
            throw new IllegalStateException(
                    "version 1 would start " + description.jobId() + " before its time");
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
     * The format in which a record is stored: one that reads as compact was written after that had
     * been decided.
     */
    public static RecordFormat formatOf(Map<String, Object> map) {
        return map.containsKey(FORMAT_VERSION) ? RecordFormat.COMPACT : RecordFormat.PLAIN;
    }

    /** True for a record of a form that only later versions know: it is not damaged. */
    public static boolean isOfLaterVersion(Map<String, Object> map) {
        return map != null && map.get(FORMAT_VERSION) instanceof Long format && format > FORMAT;
    }

    /**
     * True for a record as the leader of the term wrote it, which knows it therefore. A user's
     * cancellation keeps the term.
     */
    public static boolean isWrittenInTerm(long term, Map<String, Object> map) {
        return map.get(TERM) instanceof Long written
                && written == term
                && !map.containsKey(CANCELLED);
    }

    /** Reads the stored form of either format. */
    @SuppressWarnings("unchecked") // Cbor decodes no keys but texts.
    public static JobRecord parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        if (!(map.get(DESCRIPTION) instanceof Map<?, ?> job)) {
            throw new MalformedMessageException("job: expected a map");
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
                progress.done(),
                progress.placed(),
                (int) fields.integerOr(RUNNING, 0),
                fields.integerOr(TERM, 0),
                fields.integerOr(VERSION, 0));
    }

    private static TaskProgressCodec.Decoded parseCompact(Fields fields, JobDescription description)
            throws MalformedMessageException {
        if (fields.integer(FORMAT_VERSION) != FORMAT) {
            throw new MalformedMessageException("format: a later version's");
        }
        return TaskProgressCodec.decode(fields.text(PROGRESS), description.taskCount());
    }

    private static TaskProgressCodec.Decoded parsePlain(Fields fields, JobDescription description)
            throws MalformedMessageException {
        List<RecordedAttempt> placed = new ArrayList<>();
        for (Object item : fields.list(ATTEMPTS)) {
            if (!(item instanceof List<?> parts)
                    || parts.size() != 3
                    || !(parts.get(0) instanceof String host)
                    || !(parts.get(1) instanceof Long attempt)
                    || !(parts.get(2) instanceof List<?> tasks)) {
                throw new MalformedMessageException("placed: expected host, attempt and tasks");
            }
            placed.add(
                    new RecordedAttempt(
                            host, attempt, TaskRanges.decode(tasks, description.taskCount())));
        }
        return new TaskProgressCodec.Decoded(
                TaskRanges.decode(fields.list(DONE), description.taskCount()), placed);
    }
}
