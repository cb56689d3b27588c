package org.woadloom.node;

/** The state of the direct connection to one peer. */
final class PeerLink {
    /** How long after its last message a peer counts as reachable: about three pings. */
    private static final long REACHABLE_MICROS = 2_500_000;

    /**
     * Earlier than any time of the loop, yet far enough from the minimum for subtractions not to
     * overflow.
     */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private boolean connected;
    private long lastReceivedMicros = NEVER_MICROS;

    /** The latest term in which the peer was the leader and connected; 0 for none. */
    private long connectedInTerm;

    private int refusals;

    void onConnected(long nowMicros) {
        connected = true;
        refusals = 0;
        lastReceivedMicros = nowMicros;
    }

    void onConnectionLost() {
        connected = false;
    }

    void onConnectionRefused() {
        refusals++;
    }

    void onMessage(long nowMicros) {
        lastReceivedMicros = nowMicros;
    }

    void onConnectedToLeader(long term) {
        connectedInTerm = term;
    }

    boolean isConnected() {
        return connected;
    }

    boolean isReachable(long nowMicros) {
        return connected && nowMicros - lastReceivedMicros < REACHABLE_MICROS;
    }

    boolean wasConnectedInTerm(long term) {
        return connectedInTerm == term;
    }

    /** How many connections the peer's host has refused since the last successful one. */
    int refusals() {
        return refusals;
    }
}
