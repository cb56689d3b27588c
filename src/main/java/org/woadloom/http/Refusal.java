package org.woadloom.http;

import org.woadloom.reads.QueryRefusal;

/** A refused request about a job, with the reason for the user. */
record Refusal(Reason reason, String text) implements JobAnswer {
    /** The kind of refusal, which tells the client whether a retry can help. */
    enum Reason {
        /** The request is malformed. */
        INVALID(HttpStatus.BAD_REQUEST),
        UNKNOWN_JOB(HttpStatus.NOT_FOUND),
        /** The job can never run here: the client should not submit it again. */
        NEVER_RUNNABLE(HttpStatus.UNPROCESSABLE_CONTENT),
        /** The request can't be decided or carried out now: the client should retry. */
        UNAVAILABLE(HttpStatus.SERVICE_UNAVAILABLE);

        private final int status;

        Reason(int status) {
            this.status = status;
        }
    }

    private static final Refusal STORE_UNAVAILABLE = of(QueryRefusal.STORE_UNAVAILABLE);
    private static final Refusal UNKNOWN_JOB = new Refusal(Reason.UNKNOWN_JOB, "no such job");
    private static final Refusal JOB_CHANGED =
            unavailable("the job was changed by another request at the same time");

    static Refusal invalid(String text) {
        return new Refusal(Reason.INVALID, text);
    }

    static Refusal neverRunnable(String text) {
        return new Refusal(Reason.NEVER_RUNNABLE, text);
    }

    static Refusal unavailable(String text) {
        return new Refusal(Reason.UNAVAILABLE, text);
    }

    static Refusal of(QueryRefusal reason) {
        return unavailable(reason.message());
    }

    static Refusal storeUnavailable() {
        return STORE_UNAVAILABLE;
    }

    static Refusal unknownJob() {
        return UNKNOWN_JOB;
    }

    /** Another request changed the job between this request's read and its write. */
    static Refusal jobChanged() {
        return JOB_CHANGED;
    }

    boolean isTemporary() {
        return reason == Reason.UNAVAILABLE;
    }

    @Override
    public Response toResponse() {
        return isTemporary() ? Response.unavailable(text) : Response.error(reason.status, text);
    }
}
