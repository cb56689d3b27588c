package org.woadloom.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Version 1's reading of a job's record, frozen: what it does not know is lost when it writes the
 * record again. The samples under {@code production/} were written by that version itself.
 */
public final class Version1JobRecord {
    private static final List<String> JOB =
            List.of(
                    "uid",
                    "jobclass",
                    "crew",
                    "shape",
                    "rank",
                    "shards",
                    "vcpus",
                    "cards",
                    "ramGb",
                    "bundle",
                    "pullGb",
                    "hosttypes",
                    "yard",
                    "samePlace",
                    "apart",
                    "reclaimable",
                    "runtimeS",
                    "snapshotEveryS",
                    "snapshotCostS",
                    "dueS");
    private static final List<String> RECORD =
            List.of("job", "at", "cancelled", "done", "placed", "running", "term", "version");

    private Version1JobRecord() {}

    /** The record as version 1 understands it, or an error where it can't read it. */
    public static Map<String, Object> read(Map<String, Object> value)
            throws MalformedMessageException {
        Fields f = new Fields(value);
        Map<String, Object> job = pick(Fields.of(value.get("job"), "job"), JOB);
        long shards = new Fields(job).integer("shards");
        ranges(f.list("done"), shards);
        for (Object item : f.list("placed")) {
            if (!(item instanceof List<?> parts)
                    || parts.size() != 3
                    || !(parts.get(0) instanceof String)
                    || !(parts.get(1) instanceof Long)
                    || !(parts.get(2) instanceof List<?> tasks)) {
                throw new MalformedMessageException("placed: expected host, attempt and tasks");
            }
            ranges(tasks, shards);
        }
        f.integer("at");
        Map<String, Object> known = pick(f, RECORD);
        known.put("job", job);
        return known;
    }

    private static void ranges(List<?> list, long shards) throws MalformedMessageException {
        List<Long> numbers = new ArrayList<>();
        for (Object item : list) {
            if (!(item instanceof Long number) || number < 0 || number >= shards) {
                throw new MalformedMessageException("ranges: expected pairs of task numbers");
            }
            numbers.add(number);
        }
        if (numbers.size() % 2 != 0) {
            throw new MalformedMessageException("ranges: expected pairs of task numbers");
        }
    }

    private static Map<String, Object> pick(Fields f, List<String> names) {
        Map<String, Object> picked = new java.util.LinkedHashMap<>();
        for (String name : names) {
            if (f.has(name)) {
                picked.put(name, f.raw(name));
            }
        }
        return picked;
    }
}
