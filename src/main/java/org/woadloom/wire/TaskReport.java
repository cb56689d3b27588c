package org.woadloom.wire;

/** What a worker says of one task. {@code cause} is null unless the task has exited. */
public record TaskReport(TaskId task, long attempt, State state, Cause cause, boolean saved) {
    public enum State { FETCHING, GATHERING, RUNNING, FLUSHING, EXITED }

    public enum Cause {
        DONE, HALTED, ERROR, NO_ROOM, BUSY, UNKNOWN,
        /** A task of a gang whose peers went away. */
        PEERS,
        /** A task of a gang that was never complete. */
        INCOMPLETE
    }

    static TaskReport parse(Object value) throws WireException {
        Fields f = Fields.of(value, "shards");
        State state = switch (f.text("status")) {
            case "fetching" -> State.FETCHING;
            case "gathering" -> State.GATHERING;
            case "running" -> State.RUNNING;
            case "flushing" -> State.FLUSHING;
            case "exited" -> State.EXITED;
            // A state this version does not know still occupies the machine.
            default -> State.RUNNING;
        };
        Cause cause = null;
        if (state == State.EXITED) {
            cause = switch (f.textOr("cause", "error")) {
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
        return new TaskReport(TaskId.parse(f.text("shard")), f.integer("try"), state, cause,
                f.flagOr("saved", false));
    }

    /** True where the worker refused the launch: nothing of this attempt ever ran. */
    public boolean refused() {
        return cause == Cause.NO_ROOM || cause == Cause.BUSY || cause == Cause.UNKNOWN;
    }
}
