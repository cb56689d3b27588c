package org.woadloom.settings;

import java.util.List;

/**
 * The settings file that the platform provides to each controller node.
 *
 * @param label the name of this node
 * @param zone the zone in which this node runs
 * @param bind the address on which this node serves users and agents
 * @param peerBind the address on which this node accepts connections of its peers
 * @param peers the other controller nodes
 * @param zones the zones in which machines can be rented
 */
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

    /**
     * Timing of the protocol between agents and the leader.
     *
     * @param heartbeatMicros the interval at which an agent sends heartbeats
     * @param leaseMicros how long an agent may go without an answer before it kills its tasks
     * @param cancelMicros how soon the tasks of a cancelled job must have stopped
     */
    public record Agents(long heartbeatMicros, long leaseMicros, long cancelMicros) {}

    /**
     * The current limits of the store.
     *
     * @param rps requests per second
     * @param writeRps changes per second
     * @param valueBytes size of a value
     * @param txnOps operations in a transaction
     * @param next limits to which the store may switch at any time without notice; null if none are
     *     announced
     */
    public record Store(double rps, double writeRps, int valueBytes, int txnOps, Store next) {
        /** The value size that the store accepts both before and after it switches its limits. */
        public int minValueBytes() {
            return next == null ? valueBytes : Math.min(valueBytes, next.valueBytes);
        }

        /**
         * The number of operations that a transaction may have both before and after the switch.
         */
        public int minTxnOps() {
            return next == null ? txnOps : Math.min(txnOps, next.txnOps);
        }
    }

    /**
     * Limits of the cloud API.
     *
     * @param rps requests per second
     * @param listLagMicros by how much the list of machines may be out of date
     */
    public record Cloud(double rps, long listLagMicros) {}

    /**
     * Resources available to the process of a node.
     *
     * @param cpuShare number of cores, possibly a fraction
     * @param fdLimit maximum number of open file descriptors
     */
    public record Resources(double cpuShare, double ramMb, int fdLimit) {}

    /** Returns the peer with this label, or null if there is none. */
    public Peer peer(String peerLabel) {
        for (Peer peer : peers) {
            if (peer.label().equals(peerLabel)) {
                return peer;
            }
        }
        return null;
    }

    /** Returns the team with this name, or null if there is none. */
    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
