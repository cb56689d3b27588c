package org.woadloom.sim;

/** What a simulated node runs. */
enum Version {
    /** Version 1, which says nothing of itself. */
    VERSION_1,
    /** Version 3, which agrees by one number and knows of no rollout. */
    VERSION_3,
    CURRENT
}
