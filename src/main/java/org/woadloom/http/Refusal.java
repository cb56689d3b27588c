package org.woadloom.http;

import org.woadloom.reads.QueryRefusal;

/** Why a request about a job is not carried out. */
record Refusal(Reason reason, String text) implements JobAnswer {
    /** What the user can do about it, each with its HTTP status. */
    enum Reason {
        /** The request itself is wrong. */
        INVALID(HttpStatus.BAD_REQUEST),
        UNKNOWN_JOB(HttpStatus.NOT_FOUND),
        /** No cluster of this kind can ever run the job: it should not be submitted again. */
        NEVER_RUNNABLE(HttpStatus.UNPROCESSABLE_CONTENT),
        /** It can't be decided or done now: the user should retry. */
        UNAVAILABLE(HttpStatus.SERVICE_UNAVAILABLE);

        private final int status;

        Reason(int status) {
            this.status = status;
        }
    }

    private static final Refusal STORE_UNAVAILABLE = of(QueryRefusal.STORE_UNAVAILABLE);
    private static final Refusal UNKNOWN_JOB = new Refusal(Reason.UNKNOWN_JOB, "no such job");
    private static final Refusal JOB_CHANGED = unavailable("the job changed meanwhile");

    static Refusal invalid(String text) {
        return new Refusal(Reason.INVALID, text);
    }

    static Refusal neverRunnable(String text) {
        return new Refusal(Reason.NEVER_RUNNABLE, text);
    }

    static Refusal unavailable(String text) {
        return new Refusal(Reason.UNAVAILABLE, text);
    }

    /** A question about a job that gets no answer now. */
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
