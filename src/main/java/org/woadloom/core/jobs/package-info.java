/**
 * Jobs that have not ended: their tasks, attempts, dependencies and stored records.
 *
 * <p>JobRegistry owns the set of jobs, JobPersister schedules reads and writes of their records,
 * and DependencyGraph tracks which jobs wait for others. The package depends on the scheduler's
 * state, machines, quota and the stored records. Start reading with {@link
 * org.woadloom.core.jobs.JobRegistry}.
 */
package org.woadloom.core.jobs;
