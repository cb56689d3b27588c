package org.woadloom.node;

import org.woadloom.net.SocketBudget;
import org.woadloom.settings.ServiceSettings;

/**
 * Roughly how many machines a set of settings can carry: the leader decides every heartbeat, and
 * the nodes share the connections.
 *
 * @param maxAgentsBySockets how many agents can be connected beside users while one node is missing
 * @param maxAgentsByCpu for how many agents heartbeats can be decided in time
 */
public record FleetSizeEstimate(int maxAgentsBySockets, int maxAgentsByCpu) {
    /**
     * What a heartbeat costs the leader with all that follows from it; see "How cost grows" in
     * docs/assessment.md.
     */
    private static final double HEARTBEAT_SECONDS = 0.0005;

    /** What is kept for takeovers, bursts and failures of many machines at a time. */
    private static final double SPARE_PART = 0.5;

    public static FleetSizeEstimate of(ServiceSettings settings) {
        double heartbeatsPerSecond =
                settings.resources().cpuShare() * (1 - SPARE_PART) / HEARTBEAT_SECONDS;
        return new FleetSizeEstimate(
                SocketBudget.of(settings).maxAgents() * Math.max(1, settings.peers().size()),
                (int) (heartbeatsPerSecond * settings.agents().heartbeatMicros() / 1e6));
    }

    public int maxAgents() {
        return Math.min(maxAgentsBySockets, maxAgentsByCpu);
    }
}
