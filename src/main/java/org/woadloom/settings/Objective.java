package org.woadloom.settings;

/**
 * One aim that the platform repeats from the users; fields that it does not use are zero or empty.
 *
 * @param deadlineMultiple for an aim on deadlines, how many times the time until then a job may
 *     take
 */
public record Objective(
        String kind,
        String jobClass,
        double withinSeconds,
        double share,
        double deadlineMultiple) {}
