package org.woadloom.soak;

/** A task that begins on a machine. */
record TaskStart(String taskId, SoakJob job, MachineInfo machine, long startedMicros) {
    /** What a machine is. */
    record MachineInfo(String name, String zone, boolean spot) {}
}
