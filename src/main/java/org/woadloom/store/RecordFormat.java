package org.woadloom.store;

/** Storage format of job records. */
public enum RecordFormat {
    /** Format of version 1, used until every node is known to run a later version. */
    PLAIN,
    /** Format with task progress packed by {@link TaskProgressCodec}. */
    COMPACT
}
