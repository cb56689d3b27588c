package org.woadloom.core.machines;

import org.woadloom.core.liveness.AgentLiveness;

/** State of the direct commands to one agent. At most one request is in flight at a time. */
final class CommandChannel {
    /** Stands for no command; ids start at 1. */
    private static final long NONE = 0;

    private long inFlight = NONE;
    private long retryAtMicros;
    private boolean tokenRequested;
    private long lastProbeMicros = AgentLiveness.NEVER;
    private long lastStartToken;

    /** Records that a command with starts is sent under the given fencing token. */
    void onStartsSent(long fencingToken) {
        lastStartToken = fencingToken;
    }

    /** The highest fencing token of a direct command with starts; 0 before the first. */
    long lastStartToken() {
        return lastStartToken;
    }

    void onSent(long commandId) {
        inFlight = commandId;
    }

    /** Returns true if the completed command was the one in flight. */
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

    /** No direct command is sent before this time. */
    void pauseUntil(long micros) {
        retryAtMicros = micros;
    }

    boolean isPaused(long nowMicros) {
        return nowMicros < retryAtMicros;
    }

    /** Requests that the current fencing token be sent, even if there are no commands. */
    void requestToken() {
        tokenRequested = true;
    }

    boolean isTokenRequested() {
        return tokenRequested;
    }

    /** Returns whether the token was requested, and clears the request. */
    boolean takeTokenRequest() {
        boolean requested = tokenRequested;
        tokenRequested = false;
        return requested;
    }

    void onProbe(long nowMicros) {
        lastProbeMicros = nowMicros;
    }

    /** When the agent was last probed for being silent. */
    long lastProbeMicros() {
        return lastProbeMicros;
    }
}
