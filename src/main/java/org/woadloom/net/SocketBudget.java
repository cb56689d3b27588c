package org.woadloom.net;

import org.woadloom.settings.ServiceSettings;

/**
 * Division of a node's sockets: what remains of {@code fd_limit} after the node's own needs is
 * available to agents and users. All components are numbers of sockets.
 *
 * @param processOverhead listeners, pollers and files of the process
 * @param peers connections with other nodes, including old ones that are closing
 * @param store requests and watches to the store
 * @param cloud requests to the cloud
 * @param directCommands concurrent commands sent directly to agents
 * @param idleConnections idle outbound connections that are kept open
 * @param refusedConnections connections accepted only to be refused immediately with a retry time
 * @param inbound connections of agents and users
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
    private static final int UNIDENTIFIED_PEER_SOCKETS = 8;

    /** Up to 36 requests in flight, most of which will never be answered, and the watches. */
    private static final int STORE_SOCKETS = 48;

    private static final int CLOUD_SOCKETS = 8;
    private static final double DIRECT_COMMAND_SHARE = 0.1;
    private static final double IDLE_SHARE = 0.05;
    private static final double REFUSAL_SHARE = 0.02;

    /**
     * Fraction of inbound connections in use above which a node closes some; the rest is reserved
     * for bursts and reconnects.
     */
    private static final double HIGH_WATERMARK_SHARE = 0.85;

    /**
     * Fraction of inbound connections that agents may use while another node can serve the
     * remaining agents.
     */
    private static final double AGENT_SHARE = 0.6;

    /** Divides the sockets allowed by the settings. */
    public static SocketBudget of(ServiceSettings settings) {
        int total = settings.resources().fdLimit();
        int peers = settings.peers().size() * SOCKETS_PER_PEER + UNIDENTIFIED_PEER_SOCKETS;
        int direct = (int) (total * DIRECT_COMMAND_SHARE);
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

    /** Returns the number of open inbound connections above which some are closed. */
    public int inboundHighWatermark() {
        return (int) (inbound * HIGH_WATERMARK_SHARE);
    }

    /**
     * Returns true if the connection of an agent is closed after its answer. If there are more
     * agents than sockets, each agent holds a connection only for the duration of a heartbeat.
     * Above the high watermark this applies to agents that have nothing to do, and halfway between
     * the high watermark and the limit to all agents.
     *
     * @param open number of open connections of agents and users
     * @param needsNothing true if the answer contains no work for the agent
     */
    public boolean closesAgentConnection(int open, boolean needsNothing) {
        int level = needsNothing ? inboundHighWatermark() : (inboundHighWatermark() + inbound) / 2;
        return open > level;
    }

    /**
     * Returns the number of agents that a node serves before it redirects further ones to another
     * node.
     */
    public int maxAgents() {
        return (int) (inbound * AGENT_SHARE);
    }
}
