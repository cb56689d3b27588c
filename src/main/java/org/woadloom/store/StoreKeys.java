package org.woadloom.store;

/** Keys in the store. */
public final class StoreKeys {
    /**
     * The current leader. Attached to the leader's store lease, so the store deletes the key when
     * the leader stops renewing the lease.
     */
    public static final String LEADER = "leader";

    /** The highest term ever taken. Not attached to a lease, so it never decreases. */
    public static final String TERM = "term";

    /**
     * The latest machine types from the cloud. Used when a node starts while the cloud is
     * unavailable.
     */
    public static final String MACHINE_TYPES = "types";

    /**
     * A key that is never written. A read of it returns the current store revision with the
     * not-found answer.
     */
    public static final String NEVER_WRITTEN = "nothing";

    public static final String JOB_PREFIX = "job/";
    public static final String FINAL_STATE_PREFIX = "final/";
    public static final String MACHINE_PREFIX = "machine/";

    /**
     * Prefix of heartbeats that nodes relay through the store because they cannot reach the leader,
     * and of the answers to them.
     */
    public static final String RELAY_PREFIX = "mail/";

    /** Prefix of the version that each node runs and of the version agreed by all nodes. */
    public static final String VERSION_PREFIX = "version/";

    public static final String AGREED_VERSION = VERSION_PREFIX + "agreed";
    public static final String NODE_VERSION_PREFIX = VERSION_PREFIX + "node/";

    /**
     * Prefix of the rollout state, the announcements of running nodes, and the requests of
     * operators.
     */
    public static final String ROLLOUT_PREFIX = "rollout/";

    public static final String ROLLOUT_STATE = ROLLOUT_PREFIX + "state";
    public static final String ROLLOUT_NODE_PREFIX = ROLLOUT_PREFIX + "node/";
    public static final String ROLLOUT_REQUEST_PREFIX = ROLLOUT_PREFIX + "asked/";

    private StoreKeys() {}

    /** Key of a job that has not ended. */
    public static String job(String jobId) {
        return JOB_PREFIX + jobId;
    }

    /** Key of a job that has ended. */
    public static String finalState(String jobId) {
        return FINAL_STATE_PREFIX + jobId;
    }

    /** Prefix of the relayed messages of one node. */
    public static String relayPrefix(String label) {
        return RELAY_PREFIX + label + "/";
    }

    /** Key of one relayed message of a node. */
    public static String relaySlot(String label, int slot) {
        return relayPrefix(label) + slot;
    }

    /** Key of a machine. */
    public static String machine(String host) {
        return MACHINE_PREFIX + host;
    }
}
