package org.woadloom.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs stored values that can't be parsed, always in the same form. */
final class UnreadableRecords {
    private static final Logger LOG = LoggerFactory.getLogger(UnreadableRecords.class);

    private UnreadableRecords() {}

    static void log(String key, Exception error) {
        LOG.error("event=record_unreadable key={} error=\"{}\"", key, error.getMessage());
    }
}
