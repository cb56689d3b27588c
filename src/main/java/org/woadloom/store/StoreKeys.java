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
    public static final String MACHINE_TYPES = "types";

    /** Never written: the answer that it does not exist has the store's revision. */
    public static final String NEVER_WRITTEN = "nothing";

    public static final String JOB_PREFIX = "job/";
    public static final String FINAL_STATE_PREFIX = "final/";
    public static final String MACHINE_PREFIX = "machine/";

    /** Heartbeats relayed to a leader that their node can't reach, and the answers to them. */
    public static final String RELAY_PREFIX = "mail/";

    /** Which version each node runs, and which of them all nodes are known to run. */
    public static final String VERSION_PREFIX = "version/";

    public static final String AGREED_VERSION = VERSION_PREFIX + "agreed";
    public static final String NODE_VERSION_PREFIX = VERSION_PREFIX + "node/";

    /**
     * How far each feature is rolled out, what running nodes announce, and what operators request.
     */
    public static final String ROLLOUT_PREFIX = "rollout/";

    public static final String ROLLOUT_STATE = ROLLOUT_PREFIX + "state";
    public static final String ROLLOUT_NODE_PREFIX = ROLLOUT_PREFIX + "node/";
    public static final String ROLLOUT_REQUEST_PREFIX = ROLLOUT_PREFIX + "asked/";

    private StoreKeys() {}

    /** A job that is not over. */
    public static String job(String jobId) {
        return JOB_PREFIX + jobId;
    }

    /** A job that is over. */
    public static String finalState(String jobId) {
        return FINAL_STATE_PREFIX + jobId;
    }

    /** The prefix of one node's relayed messages. */
    public static String relayPrefix(String label) {
        return RELAY_PREFIX + label + "/";
    }

    /** One of a node's relayed messages. */
    public static String relaySlot(String label, int slot) {
        return relayPrefix(label) + slot;
    }

    /** A machine. */
    public static String machine(String host) {
        return MACHINE_PREFIX + host;
    }
}
