package org.woadloom.node;

import org.woadloom.settings.ServiceSettings;

/**
 * Which fleet a set of settings can carry, about: every worker reports to the leader, so one node must bear them all.
 *
 * @param bySockets so many workers can be connected beside users
 * @param byProcessor so many can report in time
 */
public record FleetEstimate(int bySockets, int byProcessor) {
    /** What is left to users of the connections that are taken. */
    private static final double USERS = 0.2;
    /** What a report costs the leader with all that follows from it; see "How cost grows" in docs/assessment.md. */
    private static final double REPORT_SECONDS = 0.0005;
    /** What is kept for takeovers, bursts and failures of many machines at a time. */
    private static final double SPARE = 0.5;

    public static FleetEstimate of(ServiceSettings settings) {
        double reportsASecond = settings.resources().cpuShare() * (1 - SPARE) / REPORT_SECONDS;
        return new FleetEstimate((int) (Server.mostInbound(settings) * (1 - USERS)),
                (int) (reportsASecond * settings.workers().reportMicros() / 1e6));
    }

    public int workers() {
        return Math.min(bySockets, byProcessor);
    }
}
