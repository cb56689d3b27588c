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
    private static final String JOB_PREFIX = "job/";

    private ProductionFilter() {}

    static List<Map<?, ?>> changes(Map<String, Object> body) {
        List<Map<?, ?>> changes = new ArrayList<>();
        for (Object item : (List<?>) body.get("then")) {
            changes.add((Map<?, ?>) item);
        }
        return changes;
    }

    static void checkReadableByVersion1(String path, Map<String, Object> body) {
        if (path.equals("/txn")) {
            for (Map<?, ?> change : changes(body)) {
                if (change.get("put") instanceof String key && key.startsWith(JOB_PREFIX)) {
                    readRecord(change.get("value"));
                }
            }
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readRecord(Object value) {
        try {
            return Version1JobRecord.read((Map<String, Object>) value);
        } catch (MalformedMessageException e) {
            throw new InvariantViolation(
                    ProtocolRule.UNREADABLE, "version 1 meets " + value + ": " + e.getMessage());
        }
    }

    /** An answer of the state service without what any job in it waits for. */
    static Map<String, Object> withoutDependencies(Map<String, Object> answer) {
        return mapJobRecords(
                answer,
                value -> {
                    Map<String, Object> record = new LinkedHashMap<>();
                    ((Map<?, ?>) value).forEach((key, field) -> record.put((String) key, field));
                    if (record.get("job") instanceof Map<?, ?> job) {
                        Map<String, Object> remaining = new LinkedHashMap<>();
                        job.forEach((key, field) -> remaining.put((String) key, field));
                        remaining.remove("awaits");
                        record.put("job", remaining);
                    }
                    return record;
                });
    }

    /** An answer of the state service, as version 1 understands it. */
    static Map<String, Object> readAnswer(Map<String, Object> answer) {
        return mapJobRecords(answer, ProductionFilter::readRecord);
    }

    private static Map<String, Object> mapJobRecords(
            Map<String, Object> answer, UnaryOperator<Object> mapper) {
        Map<String, Object> mapped = new LinkedHashMap<>(answer);
        if (answer.get("path") instanceof String path && path.startsWith(JOB_PREFIX)) {
            mapped.put("value", mapper.apply(answer.get("value")));
        }
        for (String list : List.of("items", "events")) {
            if (answer.get(list) instanceof List<?> items) {
                List<Object> mappedItems = new ArrayList<>();
                for (Object item : items) {
                    Map<String, Object> entry = new LinkedHashMap<>();
                    ((Map<?, ?>) item).forEach((key, value) -> entry.put((String) key, value));
                    String path =
                            (String)
                                    (entry.containsKey("path")
                                            ? entry.get("path")
                                            : entry.get("put"));
                    if (path != null && path.startsWith(JOB_PREFIX) && entry.get("value") != null) {
                        entry.put("value", mapper.apply(entry.get("value")));
                    }
                    mappedItems.add(entry);
                }
                mapped.put(list, mappedItems);
            }
        }
        return mapped;
    }
}
