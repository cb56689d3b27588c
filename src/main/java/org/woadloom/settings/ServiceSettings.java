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

    /** The agents' heartbeat interval and lease, and how soon a cancellation must take effect. */
    public record Agents(long heartbeatMicros, long leaseMicros, long cancelMicros) {}

    /**
     * The limits that the store has now.
     *
     * @param next the limits that it may have from some moment on, without notice; null for none
     */
    public record Store(double rps, double writeRps, int valueBytes, int txnOps, Store next) {
        /**
         * The smaller of the two limits on values: what keeps to it is accepted before and after
         * the change.
         */
        public int minValueBytes() {
            return next == null ? valueBytes : Math.min(valueBytes, next.valueBytes);
        }

        /** The smaller of the two limits on the operations of a transaction. */
        public int minTxnOps() {
            return next == null ? txnOps : Math.min(txnOps, next.txnOps);
        }
    }

    /** The rate of calls that the cloud accepts, and by how much its list of machines may lag. */
    public record Cloud(double rps, long listLagMicros) {}

    /** What the machine of a node gives its process. */
    public record Resources(double cpuShare, double ramMb, int fdLimit) {}

    /** The peer with this label, or null. */
    public Peer peer(String peerLabel) {
        for (Peer peer : peers) {
            if (peer.label().equals(peerLabel)) {
                return peer;
            }
        }
        return null;
    }

    /** The team with this name, or null. */
    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
