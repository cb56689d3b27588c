package org.woadloom.store;

/**
 * Who shares a node's part of the store's rates, and by which weights while all of them wait. What
 * a share does not use is the others'. Control requests have no weight: they go first, within a
 * reserve of their own.
 */
public enum RateShare {
    /**
     * Half of what is divided between users and the leader's urgent records: neither may starve the
     * other.
     */
    USERS(8, false),
    /** Starts, exits and machines: work waits for them. */
    URGENT(8, false),
    /** Progress, which may be a little older, and reads that are retried. */
    NORMAL(2, true),
    /** Housekeeping, which only must not stand still. */
    BACKGROUND(1, true);

    private final int weight;
    private final boolean isHeldAfterRefusal;

    RateShare(int weight, boolean isHeldAfterRefusal) {
        this.weight = weight;
        this.isHeldAfterRefusal = isHeldAfterRefusal;
    }

    int weight() {
        return weight;
    }

    /** Whether its requests are held back for a moment when the store refuses one. */
    boolean isHeldAfterRefusal() {
        return isHeldAfterRefusal;
    }
}
