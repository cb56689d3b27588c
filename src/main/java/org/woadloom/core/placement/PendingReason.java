package org.woadloom.core.placement;

import java.util.Locale;

/** Why the next task of a job is not placed now. */
public enum PendingReason {
    /** Tasks of the job were preempted recently. */
    BACKING_OFF,
    /** A task of the job failed, or an agent refused it, recently. */
    RETRY_DELAY,
    /** The rest of the team's limit is smaller than the task. */
    TEAM_LIMIT,
    /** The rest of the team's limit is held for lost tasks of its other jobs. */
    HELD_FOR_LOST_TASKS,
    /** The rest of the team's limit is kept for the job whose turn it is. */
    KEPT_FOR_TURN,
    /** The rest of the team's limit is kept for its other job classes. */
    KEPT_FOR_CLASSES,
    /** No machine that the job may use accepts tasks now. */
    NO_MACHINE,
    /** All machines that the job may use and that accept tasks lack free, unreserved resources. */
    NO_FREE_MACHINE,
    /** A single task fits, but not all tasks of the gang at once. */
    INCOMPLETE_GANG,
    /** None of the above: the next search is expected to place the task. */
    NONE;

    /** The value in log lines. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
