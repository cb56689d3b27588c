/**
 * The jobs that are not over: their tasks, attempts, dependencies and stored records.
 *
 * <p>JobRegistry owns which jobs there are, JobPersister when their records are read and written,
 * DependencyGraph which of them wait for others. Depends on the scheduler's state, machines, quota
 * and the stored forms; starts with {@link org.woadloom.core.jobs.JobRegistry}.
 */
package org.woadloom.core.jobs;
