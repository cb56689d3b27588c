/**
 * Which task runs on which machine, in which order jobs are served, and what is preempted.
 *
 * <p>Owns no durable state: a decision becomes an attempt of a job. Depends on jobs, machines,
 * quota and reservations; starts with {@link org.woadloom.core.placement.TaskPlacer}.
 */
package org.woadloom.core.placement;
