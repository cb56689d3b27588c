package org.woadloom.protocol;

/** Priority of a job, lowest first so that {@link #compareTo} orders by importance. */
public enum Priority {
    LOW,
    STANDARD,
    HIGH,
    CRITICAL;

    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    static Priority parse(String text) throws MalformedMessageException {
        for (Priority priority : values()) {
            if (priority.wireName().equals(text)) {
                return priority;
            }
        }
        throw new MalformedMessageException("rank: expected critical, high, standard or low");
    }
}
