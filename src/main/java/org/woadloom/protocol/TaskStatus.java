package org.woadloom.protocol;

import java.io.IOException;

/** What a worker says of one task. {@code cause} is null unless the task has exited. */
public record TaskStatus(
        TaskId task, long attempt, State state, ExitReason exitReason, boolean checkpointed) {
    public enum State {
        FETCHING,
        GATHERING,
        RUNNING,
        CHECKPOINTING,
        EXITED
    }

    public enum ExitReason {
        DONE,
        STOPPED,
        ERROR,
        INSUFFICIENT_RESOURCES,
        ALREADY_RUNNING,
        UNKNOWN_TASK,
        /** A task of a gang whose peers went away. */
        GANG_LOST,
        /** A task of a gang that was never complete. */
        GANG_INCOMPLETE
    }

    static TaskStatus read(FieldReader fields) throws IOException, MalformedMessageException {
        TaskId task = null;
        Long attempt = null;
        State state = null;
        ExitReason cause = ExitReason.ERROR;
        boolean saved = false;
        for (String name = fields.next(); name != null; name = fields.next()) {
            switch (name) {
                case "shard" -> task = TaskId.parse(fields.text());
                case "try" -> attempt = fields.integer();
                case "status" -> state = state(fields.text());
                case "cause" -> cause = exitReason(fields.text());
                case "saved" -> saved = fields.flag();
                default -> fields.skip();
            }
        }
        FieldReader.required("status", state, "text");
        return new TaskStatus(
                FieldReader.required("shard", task, "text"),
                FieldReader.required("try", attempt, "an integer"),
                state,
                state == State.EXITED ? cause : null,
                saved);
    }

    private static State state(String text) {
        return switch (text) {
            case "fetching" -> State.FETCHING;
            case "gathering" -> State.GATHERING;
            case "running" -> State.RUNNING;
            case "flushing" -> State.CHECKPOINTING;
            case "exited" -> State.EXITED;
                // A state this version does not know still occupies the machine.
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

    /** True where the worker refused the launch: nothing of this attempt ever ran. */
    public boolean wasRefused() {
        return exitReason == ExitReason.INSUFFICIENT_RESOURCES
                || exitReason == ExitReason.ALREADY_RUNNING
                || exitReason == ExitReason.UNKNOWN_TASK;
    }
}
