package org.woadloom.core.liveness;

/** What is known of the time at which an agent's message was made. */
public enum MessageAge {
    /**
     * A newer message was received before, or the incarnation's lease is known to be over: nothing
     * follows from the message.
     */
    DUPLICATE,
    /**
     * Newer than anything received, but it may have been in transit for long. What it says of
     * tasks, in the order of sequence numbers, holds for ever; that the agent lives and is
     * reachable now does not follow from it.
     */
    POSSIBLY_DELAYED,
    /** Made just now. */
    FRESH
}
