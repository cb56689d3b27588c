package org.woadloom.store;

/**
 * Request classes that share a node's part of the store's rate limits. While several classes have
 * requests queued, the rate is divided by weight; what one class leaves unused goes to the others.
 * Control requests belong to no class: they are sent first and have a reserve of their own.
 */
public enum RateShare {
    /**
     * User requests. Same weight as the leader's urgent records, so that neither starves the other.
     */
    USERS(8, false),
    /** Task starts, task exits and machine records, which work on machines waits for. */
    URGENT(8, false),
    /** Job progress, which may be slightly stale, and reads that are retried. */
    NORMAL(2, true),
    /** Background maintenance, which must make some progress but is not urgent. */
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

    /**
     * Returns true if requests of this class are paused for a moment after the store refuses one.
     */
    boolean isHeldAfterRefusal() {
        return isHeldAfterRefusal;
    }
}
