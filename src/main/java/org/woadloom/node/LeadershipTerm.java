package org.woadloom.node;

import org.woadloom.net.EventLoop;

/**
 * One term in which this node leads. Callbacks pass through {@link #runIfActive}, so that answers
 * to requests of a term are ignored once it has ended. Confined to the event loop.
 */
final class LeadershipTerm {
    private final EventLoop loop;
    private final long number;
    private final long leaderRevision;
    private boolean active = true;

    /**
     * @param leaderRevision the revision of the leader key, on which every write of this term is
     *     conditional
     */
    LeadershipTerm(EventLoop loop, long number, long leaderRevision) {
        this.loop = loop;
        this.number = number;
        this.leaderRevision = leaderRevision;
    }

    long number() {
        return number;
    }

    long leaderRevision() {
        return leaderRevision;
    }

    boolean isActive() {
        return active;
    }

    void end() {
        active = false;
    }

    void runIfActive(Runnable step) {
        if (active) {
            step.run();
        }
    }

    /** Runs the step after the delay unless the term has ended by then. */
    void schedule(long delayMicros, Runnable step) {
        loop.schedule(delayMicros, () -> runIfActive(step));
    }
}
