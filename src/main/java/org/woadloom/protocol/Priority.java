package org.woadloom.protocol;

import java.util.Locale;

/** The priority of a job, lowest first so that {@link #compareTo} orders by importance. */
public enum Priority {
    LOW,
    STANDARD,
    HIGH,
    CRITICAL;

    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Priority parse(String text) throws MalformedMessageException {
        for (Priority priority : values()) {
            if (priority.wireName().equals(text)) {
                return priority;
            }
        }
        throw new MalformedMessageException(
                JobDescription.Field.PRIORITY
                        + ": expected critical, high, standard or low, was "
                        + ErrorText.quoted(text));
    }
}
