package org.woadloom.soak;

/** What goes wrong, one at a time or several together. */
enum FaultKind {
    /** A controller is killed and started again after a fraction of a second or seconds. */
    KILL_NODE,
    /** All controllers are killed and started again. */
    KILL_ALL,
    /** The node that leads is killed several times in a row, whichever it is then. */
    LEADERS_IN_SERIES,
    /** A controller stands still and goes on. */
    PAUSE_NODE,
    /** A node's links to the other nodes hang, are refused, or hang one way. */
    CUT_PEERS,
    /** A node's link to the store hangs, is refused, or hangs one way. */
    CUT_STORE,
    /** A node's link to the cloud hangs. */
    CUT_CLOUD,
    /** All connections between nodes, store and cloud are reset. */
    RESET_LINKS,
    /** What passes a node's links is late. */
    DELAY_LINKS,
    /** The store refuses everybody. */
    STORE_OUT,
    /** The store refuses one node. */
    STORE_REFUSES_NODE,
    /** Transactions get no answer; some are carried out seconds late. */
    STORE_LOSES_ANSWERS,
    /** Some machines stand still and go on. */
    AGENTS_HANG,
    /** Some agents reach no controller, while direct commands reach them. */
    AGENTS_MUTE,
    /** Some machines end with all that is on them. */
    AGENTS_DIE
}
