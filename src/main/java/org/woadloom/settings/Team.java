package org.woadloom.settings;

/** A team's guarantee and its hard limit. */
public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}
