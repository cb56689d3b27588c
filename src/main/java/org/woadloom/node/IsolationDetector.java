package org.woadloom.node;

import org.woadloom.net.EventLoop;

/**
 * Detects that this node alone has lost the store, so that this node can't answer users but another
 * node can. The node counts as isolated if its store requests have failed for more than 3 s and
 * either a peer reports that the store answers the peer, or no peer can be reached although
 * requests of users or health checks still arrive at this node. In an outage of the store, by
 * contrast, peers can be reached but the store answers none of them; in a partitioned zone, no
 * requests from outside the zone arrive. Confined to the event loop.
 */
final class IsolationDetector {
    /** If requests to the store fail for longer than this, the store is lost rather than slow. */
    private static final long STORE_LOST_MICROS = 3_000_000;

    /** How long a request from outside shows that users reach this node. */
    private static final long OUTSIDE_REQUEST_VALID_MICROS = 3_000_000;

    private final EventLoop loop;
    private boolean storeFailing;
    private long failingSinceMicros;
    private long lastOutsideRequestMicros = Long.MIN_VALUE / 2;

    IsolationDetector(EventLoop loop) {
        this.loop = loop;
    }

    void onStoreAnswer(boolean served) {
        if (!served && !storeFailing) {
            failingSinceMicros = loop.nowMicros();
        }
        storeFailing = !served;
    }

    /** A user or the load balancer's health check has reached this node. */
    void onOutsideRequest() {
        lastOutsideRequestMicros = loop.nowMicros();
    }

    /** True from the first failed request until the store answers this node again. */
    boolean isStoreFailing() {
        return storeFailing;
    }

    /**
     * @param isAnyPeerServed whether a peer has reported that the store answers it
     * @param isAnyPeerReachable whether any peer can be reached
     */
    boolean isIsolated(boolean isAnyPeerServed, boolean isAnyPeerReachable) {
        long now = loop.nowMicros();
        return storeFailing
                && now - failingSinceMicros > STORE_LOST_MICROS
                && (isAnyPeerServed
                        || (!isAnyPeerReachable
                                && now - lastOutsideRequestMicros < OUTSIDE_REQUEST_VALID_MICROS));
    }
}
