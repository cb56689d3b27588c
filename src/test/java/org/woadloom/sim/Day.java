package org.woadloom.sim;

/**
 * What kind of day is played.
 *
 * @param leaseForNodes the lease that the nodes are told of; less than the workers' real one breaks the service on purpose
 * @param upgrade the nodes begin as version 1 and are replaced one by one; after that the state service's limits fall and
 *     users submit pipelines
 */
record Day(long leaseForNodes, boolean upgrade) {
    static final long LEASE = 10_000_000;
    static final Day PLAIN = new Day(LEASE, false);
    static final Day UPGRADE = new Day(LEASE, true);
}
