package org.woadloom.node;

import org.woadloom.net.EventLoop;

/**
 * Whether this node alone has lost the state service, while it is reached by users: it can tell
 * them nothing then, and they are better off with the others. In an outage for all there are no
 * others, and in a zone that is cut off there are no users.
 */
final class IsolationDetector {
    /** So long without an answer is more than a slow one. */
    private static final long LOST_MICROS = 3_000_000;

    private static final long OUTSIDE_MICROS = 3_000_000;

    private final EventLoop loop;
    private boolean isStoreFailing;
    private long failingSinceMicros;
    private long outsideMicros = Long.MIN_VALUE / 2;

    IsolationDetector(EventLoop loop) {
        this.loop = loop;
    }

    void onStoreAnswer(boolean served) {
        if (!served && !isStoreFailing) {
            failingSinceMicros = loop.nowMicros();
        }
        isStoreFailing = !served;
    }

    /** A user, or the load balancer's probe, has reached this node. */
    void onOutsideRequest() {
        outsideMicros = loop.nowMicros();
    }

    /** The service has to be asked by itself, as nobody else may be left who asks. */
    boolean isStoreFailing() {
        return isStoreFailing;
    }

    /**
     * @param peersServed a peer says that it is served
     * @param peersReached any peer can be reached
     */
    boolean isIsolated(boolean peersServed, boolean peersReached) {
        long now = loop.nowMicros();
        return isStoreFailing
                && now - failingSinceMicros > LOST_MICROS
                && (peersServed || !peersReached && now - outsideMicros < OUTSIDE_MICROS);
    }
}
