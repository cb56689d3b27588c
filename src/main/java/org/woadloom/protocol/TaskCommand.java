package org.woadloom.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A command to a worker. Every order names the attempt, so a late one can only touch what it was
 * meant for.
 */
public record TaskCommand(Action action, TaskId task, long attempt, double gracePeriodSeconds) {
    /** What the agent is to do with the task. */
    public enum Action {
        START("launch"),
        STOP("halt"),
        ACKNOWLEDGE_EXIT("clear");

        private final String wireName;

        Action(String wireName) {
            this.wireName = wireName;
        }
    }

    public static TaskCommand start(TaskId task, long attempt) {
        return new TaskCommand(Action.START, task, attempt, 0);
    }

    public static TaskCommand stop(TaskId task, long attempt, double gracePeriodSeconds) {
        return new TaskCommand(Action.STOP, task, attempt, gracePeriodSeconds);
    }

    public static TaskCommand acknowledgeExit(TaskId task, long attempt) {
        return new TaskCommand(Action.ACKNOWLEDGE_EXIT, task, attempt, 0);
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("verb", action.wireName);
        map.put("shard", task.toString());
        map.put("try", attempt);
        if (action == Action.STOP) {
            map.put("windDownS", gracePeriodSeconds);
        }
        return map;
    }
}
