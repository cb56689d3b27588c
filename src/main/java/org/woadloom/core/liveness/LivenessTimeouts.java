package org.woadloom.core.liveness;

/**
 * The timeouts by which agents are judged, all from the platform's settings.
 *
 * @param maxFreshAgeMicros a message that is known to be no older counts as made now; also how long
 *     an agent may take to acknowledge a new token before it gets no new tasks
 * @param unreachableMicros an agent that reports for so long without acknowledging a token is
 *     unreachable: in this time it has tried two nodes
 * @param responseTimeoutMicros an agent waits no longer for the answer to a heartbeat
 */
public record LivenessTimeouts(
        long maxFreshAgeMicros, long unreachableMicros, long responseTimeoutMicros) {
    /** After so long without an answer an agent gives up a heartbeat. */
    private static final long AGENT_ANSWER_TIMEOUT_MICROS = 4_000_000;

    /** The most that an agent takes from giving up one node to trying the next. */
    private static final long NEXT_NODE_MICROS = 1_000_000;

    private static final long MARGIN_MICROS = 500_000;

    /** The timeouts for the given interval between heartbeats and the agents' lease. */
    public static LivenessTimeouts of(long heartbeatMicros, long leaseMicros) {
        long twoNodesMicros =
                heartbeatMicros + AGENT_ANSWER_TIMEOUT_MICROS + NEXT_NODE_MICROS + MARGIN_MICROS;
        return new LivenessTimeouts(
                2 * heartbeatMicros + MARGIN_MICROS,
                Math.max(leaseMicros / 2, twoNodesMicros),
                AGENT_ANSWER_TIMEOUT_MICROS + MARGIN_MICROS);
    }
}
