package org.woadloom.wire;

/** Priority of a job, lowest first so that {@link #compareTo} orders by importance. */
public enum Rank {
    LOW,
    STANDARD,
    HIGH,
    CRITICAL;

    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    static Rank parse(String text) throws WireException {
        for (Rank rank : values()) {
            if (rank.wireName().equals(text)) {
                return rank;
            }
        }
        throw new WireException("rank: expected critical, high, standard or low");
    }
}
