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
 * The one durable record of a job that is not over, or that still may have tasks on machines.
 * {@code version} tells the leader that wrote it which of its writes this is, so that a write whose
 * answer was lost can be recognised. {@code readyWallMicros} is when the last job that it waited
 * for was done, 0 for a job that waited for none, or that waits still; once it is set, the
 * description names no jobs any more.
 */
public record JobRecord(
        JobDescription description,
        long submittedWallMicros,
        long readyWallMicros,
        boolean cancelled,
        BitSet done,
        List<RecordedAttempt> attempts,
        int running,
        long term,
        long version) {

    /** The version of the compact format. */
    private static final int FORMAT = 2;

    /** Tasks that may be on a machine under one attempt. */
    public record RecordedAttempt(String host, long attempt, BitSet tasks) {}

    public static JobRecord accepted(JobDescription description, long wallMicros) {
        return new JobRecord(description, wallMicros, 0, false, new BitSet(), List.of(), 0, 0, 0);
    }

    public JobRecord withCancellation() {
        return new JobRecord(
                description,
                submittedWallMicros,
                readyWallMicros,
                true,
                done,
                attempts,
                0,
                term,
                version);
    }

    public boolean isComplete() {
        return !description.isService() && done.cardinality() == description.taskCount();
    }

    /** What users are told while this record stands. */
    public JobStatus status() {
        // A record is only ever marked cancelled while it is not all done, and what was told must
        // stay.
        String status =
                cancelled
                        ? "cancelled"
                        : isComplete() ? "done" : running > 0 ? "running" : "queued";
        return new JobStatus(description.jobId(), status, done.cardinality(), running);
    }

    public Map<String, Object> toMap(RecordFormat format) {
        return format == RecordFormat.COMPACT ? compact() : plain();
    }

    private Map<String, Object> compact() {
        Map<String, Object> job = description.toMap();
        job.values().removeIf(value -> value == null || Boolean.FALSE.equals(value));
        if (cancelled) {
            // Nothing of it will be placed again, and a cancellation must fit whatever the job was.
            job.remove("hosttypes");
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("format", (long) FORMAT);
        map.put("job", job);
        map.put("at", submittedWallMicros);
        if (readyWallMicros != 0) {
            map.put("ready", readyWallMicros);
        }
        if (cancelled) {
            map.put("cancelled", true);
        }
        map.put("progress", TaskProgressCodec.encode(done, attempts));
        map.put("running", (long) running);
        map.put("term", term);
        map.put("version", version);
        return map;
    }

    /** As version 1 reads and writes it; it knows nothing of jobs that wait for others. */
    private Map<String, Object> plain() {
        if (!description.dependencies().isEmpty() || readyWallMicros != 0) {
            throw new IllegalStateException(
                    "version 1 would start " + description.jobId() + " before its time");
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("job", description.toMap());
        map.put("at", submittedWallMicros);
        if (cancelled) {
            map.put("cancelled", true);
        }
        map.put("done", TaskRanges.encode(done));
        List<Object> where = new ArrayList<>();
        for (RecordedAttempt p : attempts) {
            List<Object> item = new ArrayList<>();
            item.add(p.host());
            item.add(p.attempt());
            item.add(TaskRanges.encode(p.tasks()));
            where.add(item);
        }
        map.put("placed", where);
        map.put("running", (long) running);
        map.put("term", term);
        map.put("version", version);
        return map;
    }

    /**
     * The format in which a record is stored: one that reads as compact was written after that had
     * been decided.
     */
    public static RecordFormat formatOf(Map<String, Object> map) {
        return map.containsKey("format") ? RecordFormat.COMPACT : RecordFormat.PLAIN;
    }

    /** True for a record of a form that only later versions know: it is not damaged. */
    public static boolean isOfLaterVersion(Map<String, Object> map) {
        return map != null && map.get("format") instanceof Long format && format > FORMAT;
    }

    /**
     * True for a record as the leader of the term wrote it: it needs no telling. A user's
     * cancellation keeps the term.
     */
    public static boolean isWrittenInTerm(long term, Map<String, Object> map) {
        return map.get("term") instanceof Long written
                && written == term
                && !map.containsKey("cancelled");
    }

    @SuppressWarnings("unchecked")
    public static JobRecord parse(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        if (!(map.get("job") instanceof Map<?, ?> job)) {
            throw new MalformedMessageException("job: expected a map");
        }
        JobDescription description = JobDescription.parse((Map<String, Object>) job);
        TaskProgressCodec.Decoded progress =
                formatOf(map) == RecordFormat.COMPACT
                        ? compact(f, description)
                        : plain(f, description);
        return new JobRecord(
                description,
                f.integer("at"),
                f.integerOr("ready", 0),
                f.flagOr("cancelled", false),
                progress.done(),
                progress.placed(),
                (int) f.integerOr("running", 0),
                f.integerOr("term", 0),
                f.integerOr("version", 0));
    }

    private static TaskProgressCodec.Decoded compact(Fields f, JobDescription description)
            throws MalformedMessageException {
        if (f.integer("format") != FORMAT) {
            throw new MalformedMessageException("format: a later version's");
        }
        return TaskProgressCodec.decode(f.text("progress"), description.taskCount());
    }

    private static TaskProgressCodec.Decoded plain(Fields f, JobDescription description)
            throws MalformedMessageException {
        List<RecordedAttempt> placed = new ArrayList<>();
        for (Object item : f.list("placed")) {
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
                TaskRanges.decode(f.list("done"), description.taskCount()), placed);
    }
}
