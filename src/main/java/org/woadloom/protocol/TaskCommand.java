package org.woadloom.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A command to a worker. Every order names the attempt, so a late one can only touch what it was
 * meant for.
 */
public record TaskCommand(Action verb, TaskId task, long attempt, double windDownS) {
    public enum Action {
        LAUNCH,
        HALT,
        CLEAR
    }

    public static TaskCommand launch(TaskId task, long attempt) {
        return new TaskCommand(Action.LAUNCH, task, attempt, 0);
    }

    public static TaskCommand halt(TaskId task, long attempt, double windDownS) {
        return new TaskCommand(Action.HALT, task, attempt, windDownS);
    }

    public static TaskCommand clear(TaskId task, long attempt) {
        return new TaskCommand(Action.CLEAR, task, attempt, 0);
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("verb", verb.name().toLowerCase(java.util.Locale.ROOT));
        map.put("shard", task.toString());
        map.put("try", attempt);
        if (verb == Action.HALT) {
            map.put("windDownS", windDownS);
        }
        return map;
    }
}
