package org.woadloom.store;

/**
 * Who shares a node's part of the store's rates, and by which weights while all of them wait. A
 * share that nobody asks for is the others'. The election and its proofs have no weight: they go
 * first, within a reserve of their own.
 */
enum RateShare {
    /**
     * Half of what the leader and the users divide: neither the users nor the leader's records may
     * starve the other.
     */
    USERS(8),
    /** Launches, ends and machines: work waits for them. */
    URGENT(8),
    /** Progress, which may be a little older, and reads that somebody asked for again. */
    NORMAL(2),
    /** Housekeeping, which only must not stand still. */
    BACKGROUND(1);

    private final int weight;

    RateShare(int weight) {
        this.weight = weight;
    }

    int weight() {
        return weight;
    }
}
