package org.woadloom.settings;

/**
 * A service level objective of the users, as the platform states it. Fields that do not apply to
 * its kind are zero or empty.
 *
 * @param withinSeconds target time until a job is finished
 * @param deadlineMultiple target time from submission to completion, as a multiple of the time from
 *     submission to the deadline
 */
public record Objective(
        String kind,
        String jobClass,
        double withinSeconds,
        double share,
        double deadlineMultiple) {}
