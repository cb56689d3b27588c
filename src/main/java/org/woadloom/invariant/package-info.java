/**
 * Assertions on what must always hold, that stay on in service: {@link
 * org.woadloom.invariant.Invariants} decides what a violation does.
 *
 * <p>Depends on no other package.
 */
package org.woadloom.invariant;
