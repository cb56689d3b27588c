package org.woadloom.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.wire.Fields;
import org.woadloom.wire.JobDescription;
import org.woadloom.wire.JobStatus;
import org.woadloom.wire.WireException;

/**
 * The one durable record of a job that is not over, or that still may have tasks on machines. {@code version} tells
 * the leader that wrote it which of its writes this is, so that a write whose answer was lost can be recognised.
 */
public record JobRecord(JobDescription description, long submittedWallMicros, boolean cancelled, BitSet done,
        List<Placed> placed, int running, long term, long version) {

    /** Tasks that may be on a machine under one attempt. */
    public record Placed(String host, long attempt, BitSet tasks) {
    }

    public static JobRecord accepted(JobDescription description, long wallMicros) {
        return new JobRecord(description, wallMicros, false, new BitSet(), List.of(), 0, 0, 0);
    }

    public JobRecord asCancelled() {
        return new JobRecord(description, submittedWallMicros, true, done, placed, 0, term, version);
    }

    public boolean allDone() {
        return !description.service() && done.cardinality() == description.shards();
    }

    /** What users are told while this record stands. */
    public JobStatus status() {
        // A record is only ever marked cancelled while it is not all done, and what was told must stay.
        String status = cancelled ? "cancelled" : allDone() ? "done" : running > 0 ? "running" : "queued";
        return new JobStatus(description.uid(), status, done.cardinality(), running);
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("job", description.toMap());
        map.put("at", submittedWallMicros);
        if (cancelled) {
            map.put("cancelled", true);
        }
        map.put("done", Ranges.encode(done));
        List<Object> where = new ArrayList<>();
        for (Placed p : placed) {
            List<Object> item = new ArrayList<>();
            item.add(p.host());
            item.add(p.attempt());
            item.add(Ranges.encode(p.tasks()));
            where.add(item);
        }
        map.put("placed", where);
        map.put("running", (long) running);
        map.put("term", term);
        map.put("version", version);
        return map;
    }

    /** True for a record as the leader of the term wrote it: it needs no telling. A user's cancellation keeps the term. */
    public static boolean writtenIn(long term, Map<String, Object> map) {
        return map.get("term") instanceof Long written && written == term && !map.containsKey("cancelled");
    }

    @SuppressWarnings("unchecked")
    public static JobRecord parse(Map<String, Object> map) throws WireException {
        Fields f = new Fields(map);
        if (!(map.get("job") instanceof Map<?, ?> job)) {
            throw new WireException("job: expected a map");
        }
        JobDescription description = JobDescription.parse((Map<String, Object>) job);
        List<Placed> placed = new ArrayList<>();
        for (Object item : f.list("placed")) {
            if (!(item instanceof List<?> parts) || parts.size() != 3 || !(parts.get(0) instanceof String host)
                    || !(parts.get(1) instanceof Long attempt) || !(parts.get(2) instanceof List<?> tasks)) {
                throw new WireException("placed: expected host, attempt and tasks");
            }
            placed.add(new Placed(host, attempt, Ranges.decode(tasks, description.shards())));
        }
        return new JobRecord(description, f.integer("at"), f.flagOr("cancelled", false),
                Ranges.decode(f.list("done"), description.shards()), placed, (int) f.integerOr("running", 0),
                f.integerOr("term", 0), f.integerOr("version", 0));
    }
}
