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
        String storeAddress,
        List<String> zones,
        List<Team> teams,
        List<Objective> objectives,
        Agents agents,
        Store store,
        Cloud cloud,
        Resources resources) {

    public record Agents(long heartbeatMicros, long leaseMicros, long cancelMicros) {}

    /**
     * The state service's limits now; {@code next} are those that it may have from some moment on,
     * without notice.
     */
    public record Store(double rps, double writeRps, int valueBytes, int txnOps, Store next) {
        /**
         * The smaller of the two limits on values: what keeps to it is taken before and after the
         * change.
         */
        public int minValueBytes() {
            return next == null ? valueBytes : Math.min(valueBytes, next.valueBytes);
        }

        public int minTxnOps() {
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
