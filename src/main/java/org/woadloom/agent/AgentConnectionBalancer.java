package org.woadloom.agent;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which agents stay connected to this node while it is the leader. A leader with more
 * agents than it can serve redirects some of them to other nodes, which forward their heartbeats:
 * only the connection moves, the leader still handles the heartbeats. Only agents whose lease has
 * just been renewed are redirected. An agent that returns without having sent a heartbeat through
 * the other node could not reach it, and is not redirected again for a while.
 */
public final class AgentConnectionBalancer {
    /** An agent that missed this many heartbeats no longer counts as connected. */
    private static final int MAX_MISSED_HEARTBEATS = 3;

    /** Within this time a redirected agent has either reached the other node or returned. */
    private static final long REDIRECTION_TIMEOUT_MICROS = 20_000_000;

    /** How long an agent that returned is not redirected again. */
    private static final long NO_REDIRECT_MICROS = 60_000_000;

    private final int maxAgents;
    private final long disconnectMicros;

    /** The time of each connected agent's last heartbeat, the oldest first. */
    private final Map<String, Long> connected = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * When each redirected agent that has sent no heartbeat since was redirected, the oldest first.
     */
    private final Map<String, Long> redirected = new LinkedHashMap<>();

    /** When each agent that could not reach its other node returned, the oldest first. */
    private final Map<String, Long> returned = new LinkedHashMap<>();

    /**
     * @param maxAgents the number of agents above which this node redirects agents to other nodes
     * @param heartbeatMicros the interval between an agent's heartbeats
     */
    public AgentConnectionBalancer(int maxAgents, long heartbeatMicros) {
        this.maxAgents = maxAgents;
        this.disconnectMicros = MAX_MISSED_HEARTBEATS * heartbeatMicros;
    }

    /** The number of agents connected to this node. */
    public int connectedAgents() {
        return connected.size();
    }

    /**
     * Records a heartbeat that an agent sent directly to this node, the leader, and returns the
     * node that the agent must connect to instead, or null if it may stay.
     *
     * @param leaseRenewed whether the agent's lease was renewed in this term, so that it has time
     *     to reconnect
     * @param otherNodes the other nodes that this node can reach
     */
    public String redirectTarget(
            String host, boolean leaseRenewed, List<String> otherNodes, long nowMicros) {
        removeOlderThan(connected, nowMicros - disconnectMicros);
        removeOlderThan(redirected, nowMicros - REDIRECTION_TIMEOUT_MICROS);
        removeOlderThan(returned, nowMicros - NO_REDIRECT_MICROS);
        connected.put(host, nowMicros);
        if (redirected.remove(host) != null) {
            returned.put(host, nowMicros);
        }
        if (connected.size() <= maxAgents
                || !leaseRenewed
                || otherNodes.isEmpty()
                || returned.containsKey(host)) {
            return null;
        }
        connected.remove(host);
        redirected.put(host, nowMicros);
        return otherNodes.get(
                Hashing.consistentHash(
                        Hashing.murmur3_128().hashString(host, StandardCharsets.UTF_8),
                        otherNodes.size()));
    }

    /** Records that another node forwarded a heartbeat of this agent. */
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
