/**
 * How users are told of no cancellation that a leader might not carry out: each node reports what
 * it has confirmed ({@link org.woadloom.core.cancellation.ConfirmedCancellations}), and the leader
 * keeps a low watermark ({@link org.woadloom.core.cancellation.CancellationWatermark}). Depends on
 * the bounds of clocks in {@code core.delegation} alone.
 */
package org.woadloom.core.cancellation;
