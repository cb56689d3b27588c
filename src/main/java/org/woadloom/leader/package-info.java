/**
 * Leader election, and the leader's fenced writes: {@link org.woadloom.leader.Election} acquires
 * and keeps the leader key, and {@link org.woadloom.leader.RecordWriter} makes every write of a
 * leader conditional on it.
 *
 * <p>Depends on {@code store} and, for the outcome of a write, on {@code core}. It uses other parts
 * of the node only through {@code Election.Listener} and {@code Election.Eligibility}.
 */
package org.woadloom.leader;
