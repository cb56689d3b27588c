package org.woadloom.sim;

/** Software version of a simulated node. */
enum Version {
    /** Does not announce its version. */
    VERSION_1,
    /** Agrees on a single version number with the other nodes and does not support rollouts. */
    VERSION_3,
    CURRENT
}
