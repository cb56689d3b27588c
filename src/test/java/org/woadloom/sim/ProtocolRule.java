package org.woadloom.sim;

/**
 * The rules of the protocol that the simulation checks; a violation is reported under {@link #id}.
 */
enum ProtocolRule {
    /** A task starts on one machine while it is on another. */
    RAN_TWICE("ran_twice"),
    /** The running tasks of a team use more than the team's limit. */
    QUOTA("quota"),
    /** A task starts on a machine type, in a zone or on a kind of machine that its job forbids. */
    WRONG_PLACE("wrong_place"),
    /** A task is on a machine too long after a user was told that its job is cancelled. */
    RAN_CANCELLED("ran_cancelled"),
    /** An accepted job is answered as unknown, or its polls get no answer for too long. */
    FORGOTTEN("forgotten"),
    /** A job that nobody submitted is answered as known. */
    INVENTED("invented"),
    /** A job is called done before all of its tasks are. */
    NOT_DONE("not_done"),
    /** A final status changes, or a job is called cancelled that no user cancelled. */
    WENT_BACK("went_back"),
    /** A task starts before the jobs that its job depends on are done. */
    TOO_EARLY("too_early"),
    /** A job that can never run, or lacks a required field, is accepted. */
    ACCEPTED_UNFIT("accepted_unfit"),
    /** A job stays queued or running though a job that it depends on was cancelled long ago. */
    ORPHANED("orphaned"),
    /** A task waits though no fault is active, a machine has capacity and the quota allows it. */
    LEFT_WAITING("left_waiting"),
    /** A process of an earlier version meets a stored record that it can't read. */
    UNREADABLE("unreadable");

    private final String id;

    ProtocolRule(String id) {
        this.id = id;
    }

    /** The rule's name in the protocol and in the message of an {@link InvariantViolation}. */
    String id() {
        return id;
    }
}
