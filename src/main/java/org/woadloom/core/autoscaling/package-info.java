/**
 * Decides how many machines the fleet has: scales out for jobs that find no capacity, and scales in
 * machines that are idle, lost or unreachable.
 *
 * <p>The entry type is {@link org.woadloom.core.autoscaling.Autoscaler}. The package owns the scale
 * out requests under way, the kinds of machine that the cloud refused, the ages of the cloud's
 * lists, and which zones are partitioned. It reads machines, jobs, reservations and placement
 * constraints, and changes a machine only by decommissioning it.
 */
package org.woadloom.core.autoscaling;
