package org.woadloom.settings;

import java.util.List;

/** The platform's settings file. Durations are microseconds. */
public record ServiceSettings(
        String label,
        String zone,
        String bind,
        String peerBind,
        List<Peer> peers,
        String cloudAddress,
        String stateAddress,
        List<String> zones,
        List<Team> teams,
        List<Objective> objectives,
        Workers workers,
        State state,
        Cloud cloud,
        Resources resources) {

    public record Workers(long reportMicros, long leaseMicros, long cancelMicros) {}

    /**
     * The state service's limits now; {@code next} are those that it may have from some moment on,
     * without notice.
     */
    public record State(double rps, double writeRps, int valueBytes, int txnOps, State next) {
        /**
         * The smaller of the two limits on values: what keeps to it is taken before and after the
         * change.
         */
        public int leastValueBytes() {
            return next == null ? valueBytes : Math.min(valueBytes, next.valueBytes);
        }

        public int leastTxnOps() {
            return next == null ? txnOps : Math.min(txnOps, next.txnOps);
        }
    }

    public record Cloud(double rps, long listLagMicros) {}

    public record Resources(double cpuShare, double ramMb, int fdLimit) {}

    public Peer peer(String peerLabel) {
        for (Peer peer : peers) {
            if (peer.label().equals(peerLabel)) {
                return peer;
            }
        }
        return null;
    }

    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
