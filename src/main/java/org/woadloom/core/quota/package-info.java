/**
 * Teams' guarantees and limits, and who gets what of a limit that is reached.
 *
 * <p>TeamQuota counts what is used; the other classes set, before tasks are placed, which jobs are
 * within a guarantee, what is kept for job classes, and whose turn it is. Depends on jobs,
 * reservations and amounts of resources; starts with {@link org.woadloom.core.quota.TeamQuota}.
 */
package org.woadloom.core.quota;
