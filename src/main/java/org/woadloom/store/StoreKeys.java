package org.woadloom.store;

/** The keys in the store. */
public final class StoreKeys {
    /**
     * Who leads; on the leader's store lease, so that it is deleted when the leader stops renewing.
     */
    public static final String LEADER = "leader";

    /** The highest term ever taken; on no lease, so it never decreases. */
    public static final String TERM = "term";

    /** The machine types as the cloud last gave them, for a start while the cloud is down. */
    public static final String TYPES = "types";

    /** Never written: the answer that it does not exist has the store's revision. */
    public static final String NOTHING = "nothing";

    public static final String JOBS = "job/";
    public static final String FINALS = "final/";
    public static final String MACHINES = "machine/";

    /** Heartbeats relayed to a leader that their node can't reach, and the answers to them. */
    public static final String MAIL = "mail/";

    /** Which version each node runs, and which of them all nodes are known to run. */
    public static final String VERSIONS = "version/";

    public static final String AGREED = VERSIONS + "agreed";
    public static final String NODE_VERSIONS = VERSIONS + "node/";

    /**
     * How far each feature is rolled out, what running nodes announce, and what operators request.
     */
    public static final String ROLLOUT = "rollout/";

    public static final String ROLLOUT_STATE = ROLLOUT + "state";
    public static final String ROLLOUT_NODES = ROLLOUT + "node/";
    public static final String ROLLOUT_ASKED = ROLLOUT + "asked/";

    private StoreKeys() {}

    /** A job that is not over. */
    public static String job(String jobId) {
        return JOBS + jobId;
    }

    /** A job that is over. */
    public static String finalState(String jobId) {
        return FINALS + jobId;
    }

    /** The prefix of one node's relayed messages. */
    public static String mailOf(String label) {
        return MAIL + label + "/";
    }

    /** One of a node's relayed messages. */
    public static String mail(String label, int slot) {
        return mailOf(label) + slot;
    }

    /** A machine. */
    public static String machine(String host) {
        return MACHINES + host;
    }
}
