package org.woadloom.store;

/**
 * How records are stored: what version 1 can read, until every node is known to run a later one.
 */
public enum RecordFormat {
    PLAIN,
    COMPACT
}
