package org.woadloom.protocol;

import java.io.IOException;

/**
 * The status of one task in a heartbeat.
 *
 * @param exitReason why the task exited; null unless it has
 * @param checkpointed whether the task's progress was saved before it exited
 */
public record TaskStatus(
        TaskId task, long attempt, State state, ExitReason exitReason, boolean checkpointed) {
    /** Field names of one task in the body of a heartbeat. */
    static final class Field {
        static final String TASK = "shard";
        static final String ATTEMPT = "try";
        static final String STATE = "status";
        static final String EXIT_REASON = "cause";
        static final String CHECKPOINTED = "saved";

        private Field() {}
    }

    /** The fields that are read of one task. */
    static final KnownFields KNOWN_FIELDS =
            KnownFields.of(
                    Field.TASK, Field.ATTEMPT, Field.STATE, Field.EXIT_REASON, Field.CHECKPOINTED);

    /** The state of the task on its machine. */
    public enum State {
        FETCHING,
        /** Waiting for the other tasks of its gang. */
        GATHERING,
        RUNNING,
        CHECKPOINTING,
        EXITED
    }

    /** Why the task exited or never ran. */
    public enum ExitReason {
        DONE,
        STOPPED,
        ERROR,
        INSUFFICIENT_RESOURCES,
        ALREADY_RUNNING,
        UNKNOWN_TASK,
        /** Other tasks of the gang were lost. */
        GANG_LOST,
        /** The gang never became complete. */
        GANG_INCOMPLETE
    }

    static TaskStatus read(FieldReader fields) throws IOException, MalformedMessageException {
        TaskId task = null;
        Long attempt = null;
        State state = null;
        ExitReason exitReason = ExitReason.ERROR;
        boolean checkpointed = false;
        for (String name = fields.next(); name != null; name = fields.next()) {
            switch (name) {
                case Field.TASK -> task = TaskId.parse(fields.text());
                case Field.ATTEMPT -> attempt = fields.integer();
                case Field.STATE -> state = state(fields.text());
                case Field.EXIT_REASON -> exitReason = exitReason(fields.text());
                case Field.CHECKPOINTED -> checkpointed = fields.flag();
                default -> throw new IllegalStateException(name);
            }
        }
        FieldReader.required(Field.STATE, state, "text");
        return new TaskStatus(
                FieldReader.required(Field.TASK, task, "text"),
                FieldReader.required(Field.ATTEMPT, attempt, "an integer"),
                state,
                state == State.EXITED ? exitReason : null,
                checkpointed);
    }

    private static State state(String text) {
        return switch (text) {
            case "fetching" -> State.FETCHING;
            case "gathering" -> State.GATHERING;
            case "running" -> State.RUNNING;
            case "flushing" -> State.CHECKPOINTING;
            case "exited" -> State.EXITED;
                // A task in a state that this version does not know still occupies the machine.
            default -> State.RUNNING;
        };
    }

    private static ExitReason exitReason(String text) {
        return switch (text) {
            case "done" -> ExitReason.DONE;
            case "halted" -> ExitReason.STOPPED;
            case "no_room" -> ExitReason.INSUFFICIENT_RESOURCES;
            case "busy" -> ExitReason.ALREADY_RUNNING;
            case "unknown" -> ExitReason.UNKNOWN_TASK;
            case "peers" -> ExitReason.GANG_LOST;
            case "incomplete" -> ExitReason.GANG_INCOMPLETE;
            default -> ExitReason.ERROR;
        };
    }

    /** Whether the agent refused the start command, so that this attempt never ran. */
    public boolean wasRefused() {
        return exitReason == ExitReason.INSUFFICIENT_RESOURCES
                || exitReason == ExitReason.ALREADY_RUNNING
                || exitReason == ExitReason.UNKNOWN_TASK;
    }
}
