package org.woadloom.wire;

import java.io.IOException;

/** What a worker says of one task. {@code cause} is null unless the task has exited. */
public record TaskReport(TaskId task, long attempt, State state, Cause cause, boolean saved) {
    public enum State {
        FETCHING,
        GATHERING,
        RUNNING,
        FLUSHING,
        EXITED
    }

    public enum Cause {
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

    static TaskReport read(FieldReader fields) throws IOException, WireException {
        TaskId task = null;
        Long attempt = null;
        State state = null;
        Cause cause = Cause.ERROR;
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
        return new TaskReport(
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

    private static Cause cause(String text) {
        return switch (text) {
            case "done" -> Cause.DONE;
            case "halted" -> Cause.HALTED;
            case "no_room" -> Cause.NO_ROOM;
            case "busy" -> Cause.BUSY;
            case "unknown" -> Cause.UNKNOWN;
            case "peers" -> Cause.PEERS;
            case "incomplete" -> Cause.INCOMPLETE;
            default -> Cause.ERROR;
        };
    }

    /** True where the worker refused the launch: nothing of this attempt ever ran. */
    public boolean refused() {
        return cause == Cause.NO_ROOM || cause == Cause.BUSY || cause == Cause.UNKNOWN;
    }
}
