package org.woadloom.node;

import org.woadloom.net.SocketBudget;
import org.woadloom.settings.ServiceSettings;

/**
 * Which fleet a set of settings can carry, about: the leader decides every report, and the nodes
 * share the connections.
 *
 * @param bySockets so many workers can be connected beside users while one node is missing
 * @param byProcessor so many can report in time
 */
public record FleetSizeEstimate(int bySockets, int byProcessor) {
    /**
     * What a report costs the leader with all that follows from it; see "How cost grows" in
     * docs/assessment.md.
     */
    private static final double REPORT_SECONDS = 0.0005;

    /** What is kept for takeovers, bursts and failures of many machines at a time. */
    private static final double SPARE = 0.5;

    public static FleetSizeEstimate of(ServiceSettings settings) {
        double reportsASecond = settings.resources().cpuShare() * (1 - SPARE) / REPORT_SECONDS;
        return new FleetSizeEstimate(
                SocketBudget.of(settings).agents() * Math.max(1, settings.peers().size()),
                (int) (reportsASecond * settings.agents().heartbeatMicros() / 1e6));
    }

    public int agents() {
        return Math.min(bySockets, byProcessor);
    }
}
