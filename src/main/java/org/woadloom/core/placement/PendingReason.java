package org.woadloom.core.placement;

import java.util.Locale;

/** Why the next task of a job is not placed at this moment. */
public enum PendingReason {
    /** Tasks of the job were preempted a moment ago. */
    BACKING_OFF,
    /** A task of the job failed or was refused a moment ago. */
    RETRY_DELAY,
    /** The team uses too much of its limit. */
    TEAM_LIMIT,
    /** What is left of the limit is held for lost tasks of other jobs of the team. */
    HELD_FOR_LOST_TASKS,
    /** What is left of the limit is kept for the job that has its turn. */
    KEPT_FOR_TURN,
    /** What is left of the limit is kept for other classes of the team. */
    KEPT_FOR_CLASSES,
    /** No machine that the job may use accepts tasks. */
    NO_MACHINE,
    /** The machines that the job may use are in use or reserved. */
    NO_FREE_MACHINE,
    /** There is a place, but not for all tasks that have to start together. */
    INCOMPLETE_GANG,
    /** Nothing of this: the next search is to place it. */
    NONE;

    /** The name as it stands in the log. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
