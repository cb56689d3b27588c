package org.woadloom.node;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Agents that came to this node instead of the leader's lately. An agent's first heartbeat here is
 * forwarded, which renews its lease, as it may be here because it can't reach the leader. The next
 * is redirected; an agent that returns indeed can't reach the leader, or the leader has too many
 * connections: its heartbeats are forwarded for a while.
 */
final class AgentVisits {
    /** Twice the largest fleet, so that no machine that still sends heartbeats drops out. */
    private static final int MAX_VISITS = 10_000;

    /** An agent that comes within this time of its first visit has returned. */
    private static final long RETURN_WINDOW_MICROS = 12_000_000;

    /** For so long an agent that returned is served here before it is redirected anew. */
    private static final long FORWARDING_MICROS = 60_000_000;

    private static final long NOT_FORWARDED = 0;

    /** What a heartbeat here means, by the agent's earlier ones. */
    enum Kind {
        FIRST,
        /** The agent was here a moment ago, and has not been redirected yet. */
        REPEATED,
        /** The agent was redirected and has come back. */
        RETURNED,
        /** The agent returned earlier, and is served here for a while. */
        STAYING;

        boolean isReturn() {
            return this == RETURNED || this == STAYING;
        }
    }

    /** An agent's visit: when it started, and what was decided. */
    private record Visit(long sinceMicros, boolean redirected, long forwardedUntilMicros) {}

    private final Cache<String, Visit> visits =
            Caffeine.newBuilder().maximumSize(MAX_VISITS).executor(Runnable::run).build();

    Kind kind(String host, long nowMicros) {
        Visit visit = visits.getIfPresent(host);
        if (visit == null) {
            return Kind.FIRST;
        }
        if (nowMicros < visit.forwardedUntilMicros) {
            return Kind.STAYING;
        }
        if (nowMicros - visit.sinceMicros >= RETURN_WINDOW_MICROS) {
            return Kind.FIRST;
        }
        return visit.redirected ? Kind.RETURNED : Kind.REPEATED;
    }

    /** Notes a heartbeat, and tells whether it is forwarded; its agent is redirected otherwise. */
    boolean mayForward(String host, Kind kind, boolean isLeaderReachable, long nowMicros) {
        if (kind == Kind.STAYING) {
            return true;
        }
        if (kind == Kind.RETURNED) {
            visits.put(host, new Visit(nowMicros, true, nowMicros + FORWARDING_MICROS));
            return true;
        }
        boolean forwards = kind == Kind.FIRST && isLeaderReachable;
        visits.put(host, new Visit(nowMicros, !forwards, NOT_FORWARDED));
        return forwards;
    }
}
