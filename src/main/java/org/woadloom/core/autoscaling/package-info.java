/**
 * Decides how many machines the fleet has: scales out for jobs that lack capacity, and scales in
 * machines that are idle, lost or unreachable.
 *
 * <p>The entry point is {@link org.woadloom.core.autoscaling.Autoscaler}. The package owns the
 * scale-out requests in flight, the kinds of machine that the cloud refused, the times at which
 * machines were listed, and the set of partitioned zones. It reads machines, jobs, reservations and
 * placement constraints, and changes a machine only by decommissioning it.
 */
package org.woadloom.core.autoscaling;
