package org.woadloom.sim;

/**
 * A node's answer to a user.
 *
 * @param sentMicros when the request was sent: the answer may be older than what users were told
 *     since then
 * @param status the HTTP status
 * @param jobStatus the job's status as the answer has it; null if it has none
 */
record UserAnswer(
        UserRequest request, String jobId, long sentMicros, int status, String jobStatus) {
    private static final String DONE = "done";
    private static final String CANCELLED = "cancelled";

    /** The node knows the job, or has just accepted it. */
    boolean isSuccess() {
        return status == 200 || status == 201;
    }

    boolean isDone() {
        return DONE.equals(jobStatus);
    }

    boolean isCancelled() {
        return CANCELLED.equals(jobStatus);
    }

    /** The job has ended: its status must never change again. */
    boolean isFinal() {
        return isDone() || isCancelled();
    }
}
