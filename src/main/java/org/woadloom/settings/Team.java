package org.woadloom.settings;

/**
 * The quota of a team: the guaranteed resources ({@code cpus}, {@code gpus}) and the hard limits.
 */
public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}
