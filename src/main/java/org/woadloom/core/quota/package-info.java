/**
 * Teams' guarantees and limits, and how quota is divided among the jobs of a team at its limit.
 *
 * <p>TeamQuota tracks usage. Before tasks are placed, the other classes decide which jobs are
 * within a guarantee, what is kept for job classes and for lost tasks, and which job has a turn.
 * The package depends on jobs, reservations and resource amounts. Start reading at {@link
 * org.woadloom.core.quota.TeamQuota}.
 */
package org.woadloom.core.quota;
