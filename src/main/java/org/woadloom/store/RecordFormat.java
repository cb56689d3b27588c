package org.woadloom.store;

/** How the records of jobs are stored. */
public enum RecordFormat {
    /** As version 1 reads and writes them, until every node is known to run a later one. */
    PLAIN,
    /** With the progress of tasks packed by {@link TaskProgressCodec}. */
    COMPACT
}
