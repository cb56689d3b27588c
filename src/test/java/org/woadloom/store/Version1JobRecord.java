package org.woadloom.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Frozen copy of how version 1 reads a job record: fields that it does not know are lost when it
 * writes the record again. The samples under {@code production/} were written by version 1 itself.
 */
public final class Version1JobRecord {
    private static final List<String> DESCRIPTION_FIELDS =
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
    private static final List<String> RECORD_FIELDS =
            List.of("job", "at", "cancelled", "done", "placed", "running", "term", "version");

    private Version1JobRecord() {}

    /** Returns the record as version 1 understands it, or throws if version 1 cannot read it. */
    public static Map<String, Object> read(Map<String, Object> value)
            throws MalformedMessageException {
        Fields fields = new Fields(value);
        Map<String, Object> job =
                copyFields(Fields.of(value.get("job"), "job"), DESCRIPTION_FIELDS);
        long taskCount = new Fields(job).integer("shards");
        checkRanges(fields.list("done"), taskCount);
        for (Object item : fields.list("placed")) {
            if (!(item instanceof List<?> parts)
                    || parts.size() != 3
                    || !(parts.get(0) instanceof String)
                    || !(parts.get(1) instanceof Long)
                    || !(parts.get(2) instanceof List<?> tasks)) {
                throw new MalformedMessageException("placed: expected host, attempt and tasks");
            }
            checkRanges(tasks, taskCount);
        }
        fields.integer("at");
        Map<String, Object> known = copyFields(fields, RECORD_FIELDS);
        known.put("job", job);
        return known;
    }

    private static void checkRanges(List<?> list, long taskCount) throws MalformedMessageException {
        List<Long> numbers = new ArrayList<>();
        for (Object item : list) {
            if (!(item instanceof Long number) || number < 0 || number >= taskCount) {
                throw new MalformedMessageException("ranges: expected pairs of task numbers");
            }
            numbers.add(number);
        }
        if (numbers.size() % 2 != 0) {
            throw new MalformedMessageException("ranges: expected pairs of task numbers");
        }
    }

    private static Map<String, Object> copyFields(Fields fields, List<String> names) {
        Map<String, Object> copied = new java.util.LinkedHashMap<>();
        for (String name : names) {
            if (fields.has(name)) {
                copied.put(name, fields.raw(name));
            }
        }
        return copied;
    }
}
