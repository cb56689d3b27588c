package org.woadloom.node;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Decides whether a node that does not lead forwards an agent's heartbeat to the leader or
 * redirects the agent there. The first heartbeat is forwarded, which renews the agent's lease,
 * because the agent may have come here because it can't reach the leader. The next one is
 * redirected. An agent that comes back after that can't reach the leader, or the leader has too
 * many connections, so its heartbeats are forwarded for a while.
 */
final class RedirectPolicy {
    /** Twice the largest fleet, so that no machine that still sends heartbeats is evicted. */
    private static final int MAX_AGENTS = 10_000;

    /**
     * A heartbeat within this time of the agent's last decision counts as repeated or returned, a
     * later one as a first heartbeat.
     */
    private static final long RETURN_WINDOW_MICROS = 12_000_000;

    /**
     * How long the heartbeats of an agent that returned are forwarded before it is redirected
     * again.
     */
    private static final long FORWARDING_MICROS = 60_000_000;

    private static final long NOT_FORWARDED = 0;

    /** How a heartbeat relates to the agent's earlier heartbeats to this node. */
    enum Contact {
        FIRST,
        /** The agent sent a heartbeat recently and has not been redirected since. */
        REPEATED,
        /** The agent was redirected and came back. */
        RETURNED,
        /** The agent returned earlier, and its heartbeats are forwarded for a while. */
        FORWARDING;

        boolean hasReturned() {
            return this == RETURNED || this == FORWARDING;
        }
    }

    /** When an agent's last decision was made, and what it was. */
    private record Decision(long madeMicros, boolean redirected, long forwardUntilMicros) {}

    private final Cache<String, Decision> decisions =
            Caffeine.newBuilder().maximumSize(MAX_AGENTS).executor(Runnable::run).build();

    Contact classify(String host, long nowMicros) {
        Decision decision = decisions.getIfPresent(host);
        if (decision == null) {
            return Contact.FIRST;
        }
        if (nowMicros < decision.forwardUntilMicros) {
            return Contact.FORWARDING;
        }
        if (nowMicros - decision.madeMicros >= RETURN_WINDOW_MICROS) {
            return Contact.FIRST;
        }
        return decision.redirected ? Contact.RETURNED : Contact.REPEATED;
    }

    /**
     * Records a heartbeat. Returns true to forward it, false to redirect its agent to the leader.
     */
    boolean shouldForward(String host, Contact contact, boolean isLeaderReachable, long nowMicros) {
        if (contact == Contact.FORWARDING) {
            return true;
        }
        if (contact == Contact.RETURNED) {
            decisions.put(host, new Decision(nowMicros, true, nowMicros + FORWARDING_MICROS));
            return true;
        }
        boolean forward = contact == Contact.FIRST && isLeaderReachable;
        decisions.put(host, new Decision(nowMicros, !forward, NOT_FORWARDED));
        return forward;
    }
}
