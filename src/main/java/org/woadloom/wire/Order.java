package org.woadloom.wire;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A command to a worker. Every order names the attempt, so a late one can only touch what it was
 * meant for.
 */
public record Order(Verb verb, TaskId task, long attempt, double windDownS) {
    public enum Verb {
        LAUNCH,
        HALT,
        CLEAR
    }

    public static Order launch(TaskId task, long attempt) {
        return new Order(Verb.LAUNCH, task, attempt, 0);
    }

    public static Order halt(TaskId task, long attempt, double windDownS) {
        return new Order(Verb.HALT, task, attempt, windDownS);
    }

    public static Order clear(TaskId task, long attempt) {
        return new Order(Verb.CLEAR, task, attempt, 0);
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("verb", verb.name().toLowerCase(java.util.Locale.ROOT));
        map.put("shard", task.toString());
        map.put("try", attempt);
        if (verb == Verb.HALT) {
            map.put("windDownS", windDownS);
        }
        return map;
    }
}
