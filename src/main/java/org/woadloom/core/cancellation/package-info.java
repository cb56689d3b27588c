/**
 * Ensures that no cancellation is confirmed to a user unless the leader is going to apply it. Each
 * node reports what it has confirmed ({@link
 * org.woadloom.core.cancellation.ConfirmedCancellations}), and the leader keeps a low watermark
 * ({@link org.woadloom.core.cancellation.CancellationWatermark}). Depends only on the clock drift
 * bounds in {@code core.delegation}.
 */
package org.woadloom.core.cancellation;
