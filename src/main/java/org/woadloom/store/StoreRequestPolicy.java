package org.woadloom.store;

/**
 * Timeouts and limits of requests to the store. All are compile-time constants. The constants for
 * the order of requests are in {@link RequestScheduler}.
 */
final class StoreRequestPolicy {
    /** Timeout of a request; without an answer the outcome is unknown. */
    static final long TIMEOUT_MICROS = 2_000_000;

    /** Timeout of a list page, which is up to 512 KiB and takes longer than other answers. */
    static final long PAGE_TIMEOUT_MICROS = 2 * TIMEOUT_MICROS;

    /** Extra time for the answer to a watch after its blocking time has passed. */
    static final long WATCH_GRACE_MICROS = 2_000_000;

    /**
     * Time without an answer after which the proof key of a transaction is read: the transaction
     * puts a value there that no other writer ever puts, so reading this value proves that the
     * transaction was executed. Most answers take less than 10 ms, and occasionally a few hundred
     * milliseconds.
     */
    static final long OVERDUE_MICROS = 400_000;

    /**
     * Time after which an overtaken request, one with a later request already answered, is no
     * longer expected to be answered.
     */
    static final long OVERTAKEN_MICROS = 300_000;

    /** Maximum number of requests in flight whose answer is still expected. */
    static final int MAX_EXPECTED_ANSWERS = 12;

    /**
     * Maximum number of requests in flight, including overtaken ones, most of which will never be
     * answered.
     */
    static final int MAX_IN_FLIGHT = 36;

    /**
     * Additional in-flight slots for control requests, since all regular slots may be blocked until
     * their timeout.
     */
    static final int EXTRA_CONTROL_IN_FLIGHT = 6;

    /**
     * Entries per list page: a new leader reads 12,000 jobs in 24 sequential pages. The store
     * allows up to 1,000 entries or 512 KiB per page, but a whole page is on the heap at once.
     */
    static final int PAGE_ENTRIES = 500;

    /** Minimum time for which less urgent requests are held back after a refusal. */
    static final int MIN_HOLD_MICROS = 50_000;

    /**
     * Maximum random extension of {@link #MIN_HOLD_MICROS}, so that nodes do not retry in lockstep.
     */
    static final int HOLD_JITTER_MICROS = 150_000;

    // All nodes share the store's rate limits. The leader gets most of the changes because it
    // writes most records; reads are mostly for users, who are served by every node. The followers'
    // part is divided evenly among them.
    static final double LEADER_WRITE_FRACTION = 0.75;
    static final double FOLLOWERS_WRITE_FRACTION = 0.3;
    static final double LEADER_REQUEST_FRACTION = 0.5;
    static final double FOLLOWERS_REQUEST_FRACTION = 0.6;

    private StoreRequestPolicy() {}
}
