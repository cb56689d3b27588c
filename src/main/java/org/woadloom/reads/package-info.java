/**
 * Reads of jobs on behalf of users. {@link org.woadloom.reads.JobReader} reads one job by its keys;
 * {@link org.woadloom.reads.CoalescingJobReader} answers users who poll from reads that they share.
 *
 * <p>Depends on {@code store}, {@code net}, {@code protocol} and {@code settings}.
 */
package org.woadloom.reads;
