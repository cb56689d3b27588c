package org.woadloom.soak;

/**
 * A response to a user request.
 *
 * @param status the HTTP status, {@code HttpTransport.NO_RESPONSE} or {@code NOT_SENT}
 * @param jobStatus the job status in the body; null if the body has none
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

    /** The kind of a user request. */
    enum Request {
        SUBMIT,
        POLL,
        CANCEL
    }

    boolean isSuccess() {
        return status == OK || status == CREATED;
    }
}
