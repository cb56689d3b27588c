/**
 * Lease renewal on behalf of a leader that a zone cannot reach. The leader grants delegations
 * ({@link org.woadloom.core.delegation.DelegationLedger}), and a node holds one ({@link
 * org.woadloom.core.delegation.LeaseDelegate}). Has no dependencies on other packages.
 */
package org.woadloom.core.delegation;
