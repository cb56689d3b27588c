/**
 * Metrics of a node: {@link org.woadloom.metrics.NodeMetrics} counts responses, scheduler steps and
 * actions, and evaluates gauges of other components. Depends on {@code core} for the counted types.
 */
package org.woadloom.metrics;
