package org.woadloom.node;

/** What is known of the direct connection to one peer. */
final class PeerLink {
    /** A peer that was silent for longer counts as unreachable: some three pings. */
    private static final long REACHABLE_MICROS = 2_500_000;

    /** Long before any time of the loop, yet far enough from the smallest value to subtract it. */
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

    /** How often the peer's host has refused a connection since the last that was made. */
    int refusals() {
        return refusals;
    }
}
