package org.woadloom.soak;

/** A task that begins on a machine. */
record TaskStart(String taskId, SoakJob job, MachineFacts machine, long micros) {
    /** What a machine is. */
    record MachineFacts(String name, String zone, boolean spot) {}
}
