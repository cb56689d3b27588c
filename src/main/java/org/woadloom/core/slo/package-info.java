/**
 * Reports on how jobs are served; no scheduling decision depends on them. The entry point is {@link
 * org.woadloom.core.slo.ServiceLevelReport}. May depend on jobs.
 */
package org.woadloom.core.slo;
