package org.woadloom.sim;

/**
 * A node's answer to a user.
 *
 * @param sentMicros when the request was sent; users may have been told newer information between
 *     request and answer
 * @param status the HTTP status
 * @param jobStatus the job's status in the answer, or null if it has none
 */
record UserAnswer(
        UserRequest request, String jobId, long sentMicros, int status, String jobStatus) {
    private static final String DONE = "done";
    private static final String CANCELLED = "cancelled";

    /** Whether the node knows the job or has just accepted it. */
    boolean isSuccess() {
        return status == 200 || status == 201;
    }

    boolean isDone() {
        return DONE.equals(jobStatus);
    }

    boolean isCancelled() {
        return CANCELLED.equals(jobStatus);
    }

    /** Whether the job is done or cancelled, after which its status must not change. */
    boolean isFinal() {
        return isDone() || isCancelled();
    }
}
