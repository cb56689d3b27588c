/**
 * Placement of tasks on machines, the order in which jobs are served, and preemption.
 *
 * <p>Has no durable state: a placement becomes an attempt of a job. Depends on jobs, machines,
 * quota and reservations. Start reading with {@link org.woadloom.core.placement.TaskPlacer}.
 */
package org.woadloom.core.placement;
