/**
 * Reads of jobs on behalf of users. {@link org.woadloom.reads.JobReader} reads single jobs by key;
 * {@link org.woadloom.reads.CoalescingJobReader} answers polling users from shared reads.
 *
 * <p>Depends on {@code store}, {@code net}, {@code protocol} and {@code settings}.
 */
package org.woadloom.reads;
