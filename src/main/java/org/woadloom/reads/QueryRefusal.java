package org.woadloom.reads;

/** Why a question about a job gets no answer now; its user asks again. */
public enum QueryRefusal {
    /** The read that all queries share was refused by the store, or not answered. */
    STORE_UNAVAILABLE("store_unavailable", "the state service does not answer"),
    /** The job had to be read by itself, and was not read while its user waited. */
    READ_UNANSWERED("read_unanswered", "the job could not be read in time"),
    /** The page with the job has not been read yet since changes were missed. */
    REFILL_PENDING("refill_pending", "the jobs are being read"),
    /** A cancellation is told only once the leader has it. */
    CANCELLATION_UNCONFIRMED("cancellation_unconfirmed", "the cancellation can't be confirmed yet"),
    /** The job's own cancellation is still to be written. */
    DEPENDENCY_CANCELLED("dependency_cancelled", "a job before it is cancelled, and so it will be");

    private final String key;
    private final String message;

    QueryRefusal(String key, String text) {
        this.key = key;
        this.message = text;
    }

    /** The name in log lines and metrics. */
    public String key() {
        return key;
    }

    /** What the user is told. */
    public String message() {
        return message;
    }
}
