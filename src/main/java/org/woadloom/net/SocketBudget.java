package org.woadloom.net;

import org.woadloom.settings.ServiceSettings;

/**
 * How a node divides its sockets: what is left of {@code fd_limit} after its own needs is for
 * agents and users. All components are numbers of sockets.
 *
 * @param processOverhead listeners, pollers and files of the process
 * @param peers connections with the other nodes, among them old ones that are about to close
 * @param store requests to the store and watches
 * @param cloud requests to the cloud
 * @param directCommands commands to agents in flight at a time
 * @param idleConnections idle connections that are kept open
 * @param refusedConnections connections that are accepted only to be refused at once with a retry
 *     time
 * @param inbound agents and users
 */
public record SocketBudget(
        int processOverhead,
        int peers,
        int store,
        int cloud,
        int directCommands,
        int idleConnections,
        int refusedConnections,
        int inbound) {
    private static final int PROCESS_SOCKETS = 32;
    private static final int SOCKETS_PER_PEER = 4;
    private static final int UNKNOWN_PEER_SOCKETS = 8;

    /** At most 36 requests, most of which will get no answer any more, and the watches. */
    private static final int STORE_SOCKETS = 48;

    private static final int CLOUD_SOCKETS = 8;
    private static final double DIRECT_SHARE = 0.1;
    private static final double IDLE_SHARE = 0.05;
    private static final double REFUSAL_SHARE = 0.02;

    /**
     * With more than this share of its inbound connections in use a node closes some: the rest is
     * for bursts and reconnections.
     */
    private static final double COMFORTABLE_SHARE = 0.85;

    /** The share that agents may use as long as another node can serve the rest of them. */
    private static final double AGENT_SHARE = 0.6;

    /** Divides the sockets that the settings allow. */
    public static SocketBudget of(ServiceSettings settings) {
        int total = settings.resources().fdLimit();
        int peers = settings.peers().size() * SOCKETS_PER_PEER + UNKNOWN_PEER_SOCKETS;
        int direct = (int) (total * DIRECT_SHARE);
        int idle = (int) (total * IDLE_SHARE);
        int refusals = (int) Math.max(1, total * REFUSAL_SHARE);
        int ownNeeds =
                PROCESS_SOCKETS + peers + STORE_SOCKETS + CLOUD_SOCKETS + direct + idle + refusals;
        return new SocketBudget(
                PROCESS_SOCKETS,
                peers,
                STORE_SOCKETS,
                CLOUD_SOCKETS,
                direct,
                idle,
                refusals,
                Math.max(total / 2, total - ownNeeds));
    }

    /** How many inbound connections may be open before some are closed. */
    public int inboundHighWatermark() {
        return (int) (inbound * COMFORTABLE_SHARE);
    }

    /**
     * Whether the connection of an agent is closed with its answer. With more agents than sockets
     * each holds one only for the moment of its heartbeat: first those that need nothing, then,
     * with half of what is left above the comfortable level in use, all of them.
     *
     * @param open how many connections of agents and users are open
     * @param needsNothing whether the answer gives the agent nothing to do
     */
    public boolean closesAgentConnection(int open, boolean needsNothing) {
        int level = needsNothing ? inboundHighWatermark() : (inboundHighWatermark() + inbound) / 2;
        return open > level;
    }

    /** How many agents a node serves before it redirects others to another node. */
    public int maxAgents() {
        return (int) (inbound * AGENT_SHARE);
    }
}
