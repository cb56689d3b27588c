package org.woadloom.core.machines;

import org.woadloom.core.liveness.AgentLiveness;

/** The direct commands to one agent: there is one request at a time. */
final class CommandChannel {
    /** No command has this number. */
    private static final long NONE = 0;

    private long inFlight = NONE;
    private long retryAtMicros;
    private boolean tokenRequested;
    private long lastProbeMicros = AgentLiveness.NEVER;

    void onSent(long commandId) {
        inFlight = commandId;
    }

    /** Returns true if it is the command in flight that was completed. */
    boolean onCompleted(long commandId) {
        if (inFlight != commandId) {
            return false;
        }
        inFlight = NONE;
        return true;
    }

    boolean isCommandInFlight() {
        return inFlight != NONE;
    }

    /** Nothing is sent directly before this time. */
    void pauseUntil(long micros) {
        retryAtMicros = micros;
    }

    boolean isPaused(long nowMicros) {
        return nowMicros < retryAtMicros;
    }

    /** The present token is to be sent, with or without commands. */
    void requestToken() {
        tokenRequested = true;
    }

    boolean isTokenRequested() {
        return tokenRequested;
    }

    /** Returns whether the token was requested, and clears that. */
    boolean takeTokenRequest() {
        boolean requested = tokenRequested;
        tokenRequested = false;
        return requested;
    }

    void onProbe(long nowMicros) {
        lastProbeMicros = nowMicros;
    }

    /** When it was last probed because it was silent. */
    long lastProbeMicros() {
        return lastProbeMicros;
    }
}
