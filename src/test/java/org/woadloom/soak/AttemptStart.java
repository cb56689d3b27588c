package org.woadloom.soak;

/** A start command that an agent executes for an attempt that it does not list. */
record AttemptStart(String machine, long incarnation, String taskId, long attempt) {}
