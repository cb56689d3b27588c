package org.woadloom.reads;

/** Reason for which a query for a job is refused. The user is expected to retry. */
public enum QueryRefusal {
    /** The store refused the shared read or did not answer it. */
    STORE_UNAVAILABLE("store_unavailable", "the state service does not answer"),
    /** The job had to be read individually, and the read did not end while the user was waiting. */
    READ_UNANSWERED("read_unanswered", "the job could not be read in time"),
    /**
     * The cache is being refilled after a gap, and the page containing the job has not been read
     * yet.
     */
    REFILL_PENDING("refill_pending", "job states are being reloaded"),
    /** A cancellation is only reported once the leader knows it. */
    CANCELLATION_UNCONFIRMED("cancellation_unconfirmed", "the cancellation can't be confirmed yet"),
    /** A dependency was cancelled, and this job's own cancellation has not been written yet. */
    DEPENDENCY_CANCELLED(
            "dependency_cancelled",
            "a dependency was cancelled, and the cancellation of this job is pending");

    private final String key;
    private final String message;

    QueryRefusal(String key, String text) {
        this.key = key;
        this.message = text;
    }

    /** Returns the name used in log lines and metrics. */
    public String key() {
        return key;
    }

    /** Returns the error message for the user. */
    public String message() {
        return message;
    }
}
