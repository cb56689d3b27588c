package org.woadloom.protocol;

import java.io.IOException;

/** What a worker says of one task. {@code cause} is null unless the task has exited. */
public record TaskStatus(TaskId task, long attempt, State state, ExitReason cause, boolean saved) {
    public enum State {
        FETCHING,
        GATHERING,
        RUNNING,
        FLUSHING,
        EXITED
    }

    public enum ExitReason {
        DONE,
        HALTED,
        ERROR,
        NO_ROOM,
        BUSY,
        UNKNOWN,
        /** A task of a gang whose peers went away. */
        PEERS,
        /** A task of a gang that was never complete. */
        INCOMPLETE
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
                case "cause" -> cause = cause(fields.text());
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
            case "flushing" -> State.FLUSHING;
            case "exited" -> State.EXITED;
                // A state this version does not know still occupies the machine.
            default -> State.RUNNING;
        };
    }

    private static ExitReason cause(String text) {
        return switch (text) {
            case "done" -> ExitReason.DONE;
            case "halted" -> ExitReason.HALTED;
            case "no_room" -> ExitReason.NO_ROOM;
            case "busy" -> ExitReason.BUSY;
            case "unknown" -> ExitReason.UNKNOWN;
            case "peers" -> ExitReason.PEERS;
            case "incomplete" -> ExitReason.INCOMPLETE;
            default -> ExitReason.ERROR;
        };
    }

    /** True where the worker refused the launch: nothing of this attempt ever ran. */
    public boolean refused() {
        return cause == ExitReason.NO_ROOM
                || cause == ExitReason.BUSY
                || cause == ExitReason.UNKNOWN;
    }
}
