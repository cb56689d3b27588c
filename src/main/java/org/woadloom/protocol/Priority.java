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
        for (Priority rank : values()) {
            if (rank.wireName().equals(text)) {
                return rank;
            }
        }
        throw new MalformedMessageException("rank: expected critical, high, standard or low");
    }
}
