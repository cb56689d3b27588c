package org.woadloom.soak;

/**
 * What a user was told.
 *
 * @param jobStatus null where the answer names none
 */
record UserResponse(
        Request request,
        String jobId,
        int status,
        String jobStatus,
        long sentMicros,
        long receivedMicros) {
    static final int OK = 200;
    static final int CREATED = 201;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int UNPROCESSABLE = 422;

    /** The kinds of requests. */
    enum Request {
        SUBMIT,
        POLL,
        CANCEL
    }

    boolean isSuccess() {
        return status == OK || status == CREATED;
    }
}
