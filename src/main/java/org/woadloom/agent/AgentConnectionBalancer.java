package org.woadloom.agent;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which workers report to this node itself. A leader that has more than it can bear sends some on
 * to a node that carries their reports to it: who talks to a worker is all that changes, the leader
 * decides as before. Only workers whose lease it has just renewed are sent on. One that comes back
 * without having been heard by way of that node can't get there, and stays for a while.
 */
public final class AgentConnectionBalancer {
    private static final int REPORTS_MISSED = 3;

    /** Within such a time a worker that was sent on has come to the other node, or back. */
    private static final long SENT_ON_MICROS = 20_000_000;

    private static final long KEPT_MICROS = 60_000_000;

    private final int maxAgents;
    private final long forgetMicros;

    /** Those that report here, and when they last did, the longest silent first. */
    private final Map<String, Long> connected = new LinkedHashMap<>(16, 0.75f, true);

    /** When those were sent on that have not been heard since, the first first. */
    private final Map<String, Long> redirected = new LinkedHashMap<>();

    /** When those came back that could not get to another node. */
    private final Map<String, Long> unableToMove = new LinkedHashMap<>();

    /**
     * @param most how many workers are taken while others can take the rest
     */
    public AgentConnectionBalancer(int maxAgents, long reportMicros) {
        this.maxAgents = maxAgents;
        this.forgetMicros = REPORTS_MISSED * reportMicros;
    }

    /** How many workers report here. */
    public int size() {
        return connected.size();
    }

    /**
     * A worker reports to this node, which leads. Returns the node that it is to report to instead,
     * or null if it may stay.
     *
     * @param renewed its lease was renewed in this term, so that it has time to go elsewhere
     * @param others the nodes that can be reached
     */
    public String redirectTarget(String host, boolean renewed, List<String> others, long now) {
        removeOlderThan(connected, now - forgetMicros);
        removeOlderThan(redirected, now - SENT_ON_MICROS);
        removeOlderThan(unableToMove, now - KEPT_MICROS);
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

    /** A worker's report came by way of another node. */
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
