package org.woadloom.agent;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which agents send their heartbeats to this node itself. A leader with more agents than it
 * can serve redirects some to another node, which forwards their heartbeats to it: only the
 * connection moves, the leader decides as before. Only agents whose lease it has just renewed are
 * redirected. One that comes back without a heartbeat by way of the other node can't reach that
 * node, and stays for a while.
 */
public final class AgentConnectionBalancer {
    /** An agent that missed so many heartbeats does not count as connected any more. */
    private static final int MAX_MISSED_HEARTBEATS = 3;

    /** Within this time an agent that was redirected has reached the other node, or is back. */
    private static final long REDIRECTION_TIMEOUT_MICROS = 20_000_000;

    /** For how long an agent that came back is not redirected again. */
    private static final long STAY_MICROS = 60_000_000;

    private final int maxAgents;
    private final long disconnectMicros;

    /** When each connected agent last sent a heartbeat, the longest silent first. */
    private final Map<String, Long> connected = new LinkedHashMap<>(16, 0.75f, true);

    /** When each agent was redirected that has sent no heartbeat since, in that order. */
    private final Map<String, Long> redirected = new LinkedHashMap<>();

    /** When each agent came back that could not reach another node. */
    private final Map<String, Long> unableToMove = new LinkedHashMap<>();

    /**
     * @param maxAgents how many agents this node serves while others can serve the rest
     * @param heartbeatMicros the interval between an agent's heartbeats
     */
    public AgentConnectionBalancer(int maxAgents, long heartbeatMicros) {
        this.maxAgents = maxAgents;
        this.disconnectMicros = MAX_MISSED_HEARTBEATS * heartbeatMicros;
    }

    /** How many agents are connected to this node. */
    public int connectedAgents() {
        return connected.size();
    }

    /**
     * Counts an agent that sent a heartbeat to this node, which leads, and picks the node that it
     * is to connect to instead; null if it may stay.
     *
     * @param renewed whether its lease was renewed in this term, so that it has time to reconnect
     * @param others the nodes that can be reached
     */
    public String redirectTarget(String host, boolean renewed, List<String> others, long now) {
        removeOlderThan(connected, now - disconnectMicros);
        removeOlderThan(redirected, now - REDIRECTION_TIMEOUT_MICROS);
        removeOlderThan(unableToMove, now - STAY_MICROS);
        connected.put(host, now);
        if (redirected.remove(host) != null) {
            unableToMove.put(host, now);
        }
        if (connected.size() <= maxAgents
                || !renewed
                || others.isEmpty()
                || unableToMove.containsKey(host)) {
            return null;
        }
        connected.remove(host);
        redirected.put(host, now);
        return others.get(
                Hashing.consistentHash(
                        Hashing.murmur3_128().hashString(host, StandardCharsets.UTF_8),
                        others.size()));
    }

    /** Notes that an agent's heartbeat came by way of another node. */
    public void onForwarded(String host) {
        connected.remove(host);
        redirected.remove(host);
    }

    private static void removeOlderThan(Map<String, Long> times, long before) {
        Iterator<Long> oldest = times.values().iterator();
        while (oldest.hasNext() && oldest.next() < before) {
            oldest.remove();
        }
    }
}
