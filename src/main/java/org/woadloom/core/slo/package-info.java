/**
 * What the scheduler reports of how jobs are served; nothing is decided by it. {@link
 * org.woadloom.core.slo.ServiceLevelReport} is the entry type. May depend on the jobs.
 */
package org.woadloom.core.slo;
