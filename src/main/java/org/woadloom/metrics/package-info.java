/**
 * The meters of a node: {@link org.woadloom.metrics.NodeMetrics} counts answers, steps and actions,
 * and has gauges read from other parts. Depends on {@code core} for what is counted.
 */
package org.woadloom.metrics;
