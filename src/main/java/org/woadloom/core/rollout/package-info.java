/**
 * The rollout of features, by which the stored forms and the messages between nodes change. {@link
 * org.woadloom.core.rollout.FeatureRollout} is the leader's part and {@link
 * org.woadloom.core.rollout.RolloutPolicy} its decisions; {@link
 * org.woadloom.core.rollout.ClusterMembership} is each node's. May depend on the jobs and machines
 * whose records it has rewritten, and on the stored records.
 */
package org.woadloom.core.rollout;
