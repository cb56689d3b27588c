package org.woadloom.core.liveness;

/**
 * Timeouts for the liveness of agents, derived from the platform's settings.
 *
 * @param maxFreshAgeMicros a message known to be no older counts as fresh; also how long an agent
 *     may take to acknowledge a new token before it gets no new tasks
 * @param unreachableMicros an agent that sends heartbeats for this long without acknowledging a
 *     token is unreachable; long enough for it to have tried two nodes
 * @param responseTimeoutMicros an agent does not wait longer than this for the response to a
 *     heartbeat
 */
public record LivenessTimeouts(
        long maxFreshAgeMicros, long unreachableMicros, long responseTimeoutMicros) {
    /** An agent gives up a heartbeat after this long without a response. */
    private static final long AGENT_RESPONSE_TIMEOUT_MICROS = 4_000_000;

    /** Upper bound for the time in which an agent switches to the next node after giving up one. */
    private static final long NODE_SWITCH_MICROS = 1_000_000;

    private static final long MARGIN_MICROS = 500_000;

    /** Derives the timeouts from the heartbeat interval and the duration of the agents' leases. */
    public static LivenessTimeouts of(long heartbeatMicros, long leaseMicros) {
        long twoNodesMicros =
                heartbeatMicros
                        + AGENT_RESPONSE_TIMEOUT_MICROS
                        + NODE_SWITCH_MICROS
                        + MARGIN_MICROS;
        return new LivenessTimeouts(
                2 * heartbeatMicros + MARGIN_MICROS,
                Math.max(leaseMicros / 2, twoNodesMicros),
                AGENT_RESPONSE_TIMEOUT_MICROS + MARGIN_MICROS);
    }
}
