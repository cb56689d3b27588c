package org.woadloom.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.Version1JobRecord;

/**
 * Makes a node a stand-in for version 1: what it reads of jobs is what that version's reader leaves
 * of it, what it writes must be readable by it, and it neither says nor learns anything of
 * versions. That it never meets a record which it can't read is checked here.
 */
final class ProductionFilter {
    private static final String JOBS = "job/";

    private ProductionFilter() {}

    static List<Map<?, ?>> changes(Map<String, Object> body) {
        List<Map<?, ?>> changes = new ArrayList<>();
        for (Object item : (List<?>) body.get("then")) {
            changes.add((Map<?, ?>) item);
        }
        return changes;
    }

    static void checkWritten(String path, Map<String, Object> body) {
        if (path.equals("/txn")) {
            for (Map<?, ?> change : changes(body)) {
                if (change.get("put") instanceof String key && key.startsWith(JOBS)) {
                    record(change.get("value"));
                }
            }
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> record(Object value) {
        try {
            return Version1JobRecord.read((Map<String, Object>) value);
        } catch (MalformedMessageException e) {
            throw new InvariantViolation(
                    ProtocolRule.UNREADABLE, "version 1 meets " + value + ": " + e.getMessage());
        }
    }

    /** An answer of the state service without what any job in it waits for. */
    static Map<String, Object> withoutAwaits(Map<String, Object> answer) {
        return jobs(
                answer,
                value -> {
                    Map<String, Object> record = new LinkedHashMap<>();
                    ((Map<?, ?>) value).forEach((key, field) -> record.put((String) key, field));
                    if (record.get("job") instanceof Map<?, ?> job) {
                        Map<String, Object> known = new LinkedHashMap<>();
                        job.forEach((key, field) -> known.put((String) key, field));
                        known.remove("awaits");
                        record.put("job", known);
                    }
                    return record;
                });
    }

    /** An answer of the state service, as version 1 understands it. */
    static Map<String, Object> read(Map<String, Object> answer) {
        return jobs(answer, ProductionFilter::record);
    }

    private static Map<String, Object> jobs(
            Map<String, Object> answer, UnaryOperator<Object> read) {
        Map<String, Object> seen = new LinkedHashMap<>(answer);
        if (answer.get("path") instanceof String path && path.startsWith(JOBS)) {
            seen.put("value", read.apply(answer.get("value")));
        }
        for (String list : List.of("items", "events")) {
            if (answer.get(list) instanceof List<?> items) {
                List<Object> known = new ArrayList<>();
                for (Object item : items) {
                    Map<String, Object> entry = new LinkedHashMap<>();
                    ((Map<?, ?>) item).forEach((key, value) -> entry.put((String) key, value));
                    String path =
                            (String)
                                    (entry.containsKey("path")
                                            ? entry.get("path")
                                            : entry.get("put"));
                    if (path != null && path.startsWith(JOBS) && entry.get("value") != null) {
                        entry.put("value", read.apply(entry.get("value")));
                    }
                    known.add(entry);
                }
                seen.put(list, known);
            }
        }
        return seen;
    }
}
