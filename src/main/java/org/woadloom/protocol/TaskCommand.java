package org.woadloom.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A command to an agent. It names the attempt, so a delayed command can't affect a later attempt of
 * the task.
 *
 * @param gracePeriodSeconds how long a stopped task may take to save its progress; 0 for other
 *     commands
 */
public record TaskCommand(Action action, TaskId task, long attempt, double gracePeriodSeconds) {
    /** Field names of a command. */
    static final class Field {
        static final String ACTION = "verb";
        static final String TASK = "shard";
        static final String ATTEMPT = "try";
        static final String GRACE_PERIOD_SECONDS = "windDownS";

        private Field() {}
    }

    /** What the agent must do with the task. */
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
        map.put(Field.ACTION, action.wireName);
        map.put(Field.TASK, task.toString());
        map.put(Field.ATTEMPT, attempt);
        if (action == Action.STOP) {
            map.put(Field.GRACE_PERIOD_SECONDS, gracePeriodSeconds);
        }
        return map;
    }
}
