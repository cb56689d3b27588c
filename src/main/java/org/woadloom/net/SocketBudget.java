package org.woadloom.net;

import org.woadloom.settings.ServiceSettings;

/**
 * What a node's sockets are for: {@code fd_limit} less what it needs itself is for workers and
 * users. All are numbers of sockets.
 *
 * @param process listeners, pollers and files of the process
 * @param peers connections with the other nodes, old ones that are about to end among them
 * @param state requests and watches of the state service
 * @param cloud requests to the cloud
 * @param direct commands to workers that are under way at a time
 * @param idle connections kept open to whomever was asked last
 * @param refusals connections that are taken only to be told at once to come back later
 * @param inbound workers and users
 */
public record SocketBudget(
        int process,
        int peers,
        int state,
        int cloud,
        int direct,
        int idle,
        int refusals,
        int inbound) {
    private static final int PROCESS = 32;
    private static final int EACH_PEER = 4;
    private static final int STRANGE_PEERS = 8;

    /** 36 requests at most, most of which get no answer any more, and the watches. */
    private static final int STATE = 48;

    private static final int CLOUD = 8;
    private static final double DIRECT = 0.1;
    private static final double IDLE = 0.05;
    private static final double REFUSALS = 0.02;

    /**
     * With more than this part of its connections in use a node makes room: the rest is for bursts
     * and reconnections.
     */
    private static final double COMFORTABLE = 0.85;

    /** The part that workers may take as long as another node can take the rest of them. */
    private static final double WORKERS = 0.6;

    public static SocketBudget of(ServiceSettings settings) {
        int all = settings.resources().fdLimit();
        int peers = settings.peers().size() * EACH_PEER + STRANGE_PEERS;
        int direct = (int) (all * DIRECT);
        int idle = (int) (all * IDLE);
        int refusals = (int) Math.max(1, all * REFUSALS);
        int rest = all - PROCESS - peers - STATE - CLOUD - direct - idle - refusals;
        return new SocketBudget(
                PROCESS, peers, STATE, CLOUD, direct, idle, refusals, Math.max(all / 2, rest));
    }

    /** How many connections of workers and users are well. */
    public int comfortable() {
        return (int) (inbound * COMFORTABLE);
    }

    /**
     * Whether the connection of a worker is closed with its answer. With more workers than sockets
     * each holds one only for the moment of its heartbeat: first those that need nothing, then,
     * with half of what is left above the comfortable level in use, all of them.
     *
     * @param open connections of workers and users
     * @param needsNothing the answer brings the worker nothing to do
     */
    public boolean closesWorker(int open, boolean needsNothing) {
        int level = needsNothing ? comfortable() : (comfortable() + inbound) / 2;
        return open > level;
    }

    /** How many workers a node takes before it sends others to another node. */
    public int agents() {
        return (int) (inbound * WORKERS);
    }
}
