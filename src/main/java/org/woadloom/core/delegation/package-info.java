/**
 * The renewal of leases on behalf of a leader that a zone can't reach: the leader grants ({@link
 * org.woadloom.core.delegation.DelegationLedger}), a node holds ({@link
 * org.woadloom.core.delegation.LeaseDelegate}). Depends on nothing else.
 */
package org.woadloom.core.delegation;
