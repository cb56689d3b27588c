package org.woadloom.sim;

/**
 * What kind of day is played.
 *
 * @param leaseForNodes the lease that the nodes are told of; less than the workers' real one breaks the service on purpose
 * @param upgrade the nodes begin as version 1 and are replaced one by one; after that the state service's limits fall and
 *     users submit pipelines
 * @param agreedTooEarly breaks the service on purpose: the new version believes that every node runs it
 * @param forgetsAwaits breaks the service on purpose: nodes read no job's {@code awaits}
 */
record Day(long leaseForNodes, boolean upgrade, boolean agreedTooEarly, boolean forgetsAwaits) {
    static final long LEASE = 10_000_000;
    static final Day PLAIN = new Day(LEASE, false, false, false);
    static final Day UPGRADE = new Day(LEASE, true, false, false);
}
