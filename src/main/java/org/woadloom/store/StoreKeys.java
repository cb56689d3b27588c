package org.woadloom.store;

/** The keys in the state service. */
public final class StoreKeys {
    /**
     * Who leads; attached to the leader's grant, so that it goes when the leader stops renewing.
     */
    public static final String LEADER = "leader";

    /** The highest term ever taken; on no grant, so it never goes back. */
    public static final String TERM = "term";

    /** The machine types as the cloud last gave them, for a start while the cloud is down. */
    public static final String TYPES = "types";

    /** Never written: the answer that it is not there tells the store's generation. */
    public static final String NOTHING = "nothing";

    public static final String JOBS = "job/";
    public static final String FINALS = "final/";
    public static final String MACHINES = "machine/";

    /** Reports on their way to a leader that their node can't reach, and the answers to them. */
    public static final String MAIL = "mail/";

    /** Which version each node runs, and which of them all nodes are known to run. */
    public static final String VERSIONS = "version/";

    public static final String AGREED = VERSIONS + "agreed";
    public static final String NODE_VERSIONS = VERSIONS + "node/";

    /**
     * How far each feature is rolled out, what running nodes say of themselves, and what operators
     * ask for.
     */
    public static final String ROLLOUT = "rollout/";

    public static final String ROLLOUT_STATE = ROLLOUT + "state";
    public static final String ROLLOUT_NODES = ROLLOUT + "node/";
    public static final String ROLLOUT_ASKED = ROLLOUT + "asked/";

    private StoreKeys() {}

    public static String job(String jobId) {
        return JOBS + jobId;
    }

    public static String finalState(String jobId) {
        return FINALS + jobId;
    }

    /** The letters of one node. */
    public static String mailOf(String label) {
        return MAIL + label + "/";
    }

    public static String mail(String label, int slot) {
        return mailOf(label) + slot;
    }

    public static String machine(String host) {
        return MACHINES + host;
    }
}
