package org.woadloom.store;

/**
 * The time-outs, bounds and rates that requests to the store keep to. All are compile-time
 * constants; {@link RequestScheduler} has those of the order in which requests are sent.
 */
final class StoreRequestPolicy {
    /** How long an answer is waited for; without one, the outcome is unknown. */
    static final long TIMEOUT_MICROS = 2_000_000;

    /** A page of a list is up to 512 KiB, so it takes longer than other answers. */
    static final long PAGE_TIMEOUT_MICROS = 2 * TIMEOUT_MICROS;

    /** How much later than the end of its blocking time a watch may be answered. */
    static final long WATCH_GRACE_MICROS = 2_000_000;

    /**
     * After this long without an answer a transaction's proof is read. Most answers take less than
     * 10 ms, and now and then a few hundred.
     */
    static final long OVERDUE_MICROS = 400_000;

    /** A request that was sent this long ago, and that later ones have overtaken, is given up. */
    static final long OVERTAKEN_MICROS = 300_000;

    /** Requests in flight whose answers can be expected. */
    static final int MAX_EXPECTED_ANSWERS = 12;

    /** Requests in flight, with the overtaken ones that most likely get no answer any more. */
    static final int MAX_IN_FLIGHT = 36;

    /**
     * Further places in flight for control requests alone: all others may hang until their
     * time-out.
     */
    static final int EXTRA_CONTROL_IN_FLIGHT = 6;

    /**
     * Entries of a list's page: a new leader reads 12,000 jobs in 24 pages, one after another. The
     * store gives at most 1,000, or 512 KiB, which would all be on the heap together.
     */
    static final int PAGE_ENTRIES = 500;

    /** After a refusal, less urgent requests are held back for at least this long... */
    static final int MIN_HOLD_MICROS = 50_000;

    /** ... and for up to this much longer, chosen at random so that nodes don't retry together. */
    static final int HOLD_JITTER_MICROS = 150_000;

    // All nodes share the store's limits. The leader writes most; reads are for users, whom every
    // node serves. The others' parts are divided among them.
    static final double LEADER_WRITE_FRACTION = 0.75;
    static final double FOLLOWERS_WRITE_FRACTION = 0.3;
    static final double LEADER_REQUEST_FRACTION = 0.5;
    static final double FOLLOWERS_REQUEST_FRACTION = 0.6;

    private StoreRequestPolicy() {}
}
