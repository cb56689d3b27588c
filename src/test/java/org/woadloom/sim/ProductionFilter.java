package org.woadloom.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.Version1JobRecord;

/**
 * Makes a node behave like version 1: job records that it reads are reduced to the fields that
 * version 1 parses, and job records that it writes must be readable by version 1. A record that
 * version 1 can't parse is reported as {@link ProtocolRule#UNREADABLE}.
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
                    ProtocolRule.UNREADABLE,
                    "version 1 can't read job record " + value + ": " + e.getMessage());
        }
    }

    /** Returns the store's answer without the dependencies of the jobs in it. */
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

    /** Returns the store's answer with only the fields of jobs that version 1 parses. */
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
