/**
 * Who leads, and the leader's fenced writes: {@link org.woadloom.leader.Election} takes and keeps
 * the leader key, and {@link org.woadloom.leader.RecordWriter} makes every write of a leader
 * conditional on it.
 *
 * <p>Uses {@code store} and, for the outcome of a write, {@code core}; knows nothing of the node
 * around it but {@code Election.Listener} and {@code Election.Fence}.
 */
package org.woadloom.leader;
