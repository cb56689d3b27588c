/**
 * Checks of conditions that must always hold, which stay enabled in production. {@link
 * org.woadloom.invariant.Invariants} defines the checks and what a violation does.
 *
 * <p>Depends on no other package.
 */
package org.woadloom.invariant;
