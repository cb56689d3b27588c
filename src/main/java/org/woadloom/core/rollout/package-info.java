/**
 * The rollout of features, which change stored formats and the messages between nodes. {@link
 * org.woadloom.core.rollout.FeatureRollout} is the leader's part, {@link
 * org.woadloom.core.rollout.RolloutPolicy} makes its decisions, and {@link
 * org.woadloom.core.rollout.ClusterMembership} decides on each node whether it may serve. The
 * package may depend on the jobs and machines whose records it has rewritten, and on the stored
 * records.
 */
package org.woadloom.core.rollout;
