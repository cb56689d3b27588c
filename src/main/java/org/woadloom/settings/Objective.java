package org.woadloom.settings;

/** One aim that the platform repeats from the users; fields that it does not use are zero or empty. */
public record Objective(String kind, String jobclass, double withinS, double share) {
}
