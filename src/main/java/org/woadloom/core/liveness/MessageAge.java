package org.woadloom.core.liveness;

/**
 * What the time at which a worker's message was made is known to be. Decided in {@link
 * Hearing#judge} alone.
 */
public enum MessageAge {
    /**
     * Something newer was heard before, or the session is known to be over: nothing follows from
     * it.
     */
    DUPLICATE,
    /**
     * Newer than anything heard, but it may have been under way for long. What it says of tasks, in
     * the order of its numbers, holds for ever; that the worker lives now, and hears, does not
     * follow from it.
     */
    POSSIBLY_DELAYED,
    /** Made just now. */
    FRESH
}
