package org.woadloom.node;

import org.woadloom.net.SocketBudget;
import org.woadloom.settings.ServiceSettings;

/**
 * Estimates how many machines a cluster with the given settings can manage. It is limited by the
 * leader's processor, as the leader decides every heartbeat, and by the connections, which the
 * nodes share.
 *
 * @param maxAgentsBySockets how many agents can be connected, in addition to users, while one node
 *     is down
 * @param maxAgentsByCpu for how many agents the leader can decide heartbeats in time
 */
public record FleetSizeEstimate(int maxAgentsBySockets, int maxAgentsByCpu) {
    /**
     * The leader's processor time for one heartbeat and all work that follows from it; see "How
     * cost grows" in docs/assessment.md.
     */
    private static final double CPU_SECONDS_PER_HEARTBEAT = 0.0005;

    /**
     * The share of the processor that is reserved for takeovers, bursts and failures of many
     * machines at a time.
     */
    private static final double RESERVED_CPU_SHARE = 0.5;

    public static FleetSizeEstimate of(ServiceSettings settings) {
        double heartbeatsPerSecond =
                settings.resources().cpuShare()
                        * (1 - RESERVED_CPU_SHARE)
                        / CPU_SECONDS_PER_HEARTBEAT;
        return new FleetSizeEstimate(
                SocketBudget.of(settings).maxAgents() * Math.max(1, settings.peers().size()),
                (int) (heartbeatsPerSecond * settings.agents().heartbeatMicros() / 1e6));
    }

    public int maxAgents() {
        return Math.min(maxAgentsBySockets, maxAgentsByCpu);
    }
}
