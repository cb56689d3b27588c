package org.woadloom.core.liveness;

/** Classification of an agent's message by when it may have been created. */
public enum MessageAge {
    /**
     * A newer message has arrived before, or the incarnation's lease has expired. The message is to
     * be ignored.
     */
    DUPLICATE,
    /**
     * Newer than any message received before, but possibly long in transit. What it says of tasks
     * is valid, in the order of sequence numbers; it does not show that the agent is alive or
     * reachable now.
     */
    POSSIBLY_DELAYED,
    /** Created just now. */
    FRESH
}
