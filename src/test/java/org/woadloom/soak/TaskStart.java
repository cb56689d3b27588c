package org.woadloom.soak;

/** The start of a task on a machine. */
record TaskStart(String taskId, SoakJob job, MachineInfo machine, long startedMicros) {
    /** The name and properties of a machine. */
    record MachineInfo(String name, String zone, boolean spot) {}
}
