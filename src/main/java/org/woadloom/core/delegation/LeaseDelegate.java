package org.woadloom.core.delegation;

/**
 * When a node that is cut off may renew the leases of its zone's workers by itself. It may while it
 * holds a warrant of the leader that it has lost, and only after it has heard neither the leader
 * nor the state service for a while, so that its promises to the leader hold. A process that was
 * started anew holds no warrant.
 */
public final class LeaseDelegate {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final DelegationTimeouts timeouts;
    private final String zone;
    private final long processId;
    private final long startedMicros;
    private long term;
    private long leaderClockMicros;
    private long validUntilMicros = NEVER;
    private long lastLeaderContactMicros;
    private long lastStoreAnswerMicros;
    private boolean storeFails;
    private long lastRenewalMicros = NEVER;

    public LeaseDelegate(DelegationTimeouts rules, String zone, long processId, long nowMicros) {
        this.timeouts = rules;
        this.zone = zone;
        this.processId = processId;
        this.startedMicros = nowMicros;
        this.lastLeaderContactMicros = nowMicros;
        this.lastStoreAnswerMicros = nowMicros;
    }

    /** A warrant has come; one of an earlier term is of the past. */
    public void onDelegation(LeaseDelegation delegation) {
        if (delegation.term() < term) {
            return;
        }
        if (delegation.term() > term) {
            validUntilMicros = NEVER;
            leaderClockMicros = delegation.leaderClockMicros();
        }
        term = delegation.term();
        leaderClockMicros = Math.max(leaderClockMicros, delegation.leaderClockMicros());
        // By the time when the node spoke, as the answer may have been held up on its way.
        lastLeaderContactMicros = Math.max(lastLeaderContactMicros, delegation.statusSentMicros());
        if (delegation.cancellationLagMicros() < LeaseDelegation.UNKNOWN_LAG) {
            validUntilMicros =
                    Math.max(
                            validUntilMicros,
                            delegation.statusSentMicros()
                                    - delegation.cancellationLagMicros()
                                    + timeouts.delegationMicros());
        }
    }

    public void onStoreAnswered(long nowMicros) {
        lastStoreAnswerMicros = nowMicros;
        storeFails = false;
    }

    public void onStoreFailed() {
        storeFails = true;
    }

    /** True while this node has lost the leader and the state service for long enough. */
    private boolean isPartitioned(long nowMicros) {
        return storeFails && nowMicros > renewFromMicros();
    }

    /** True while it is cut off and its warrant lasts. */
    public boolean mayRenew(long nowMicros) {
        return timeouts.isUsable() && isPartitioned(nowMicros) && nowMicros <= validUntilMicros;
    }

    private long renewFromMicros() {
        return Math.max(lastLeaderContactMicros, lastStoreAnswerMicros) + timeouts.silenceMicros();
    }

    /** Whether to renew a worker's lease; that it is done is remembered for the leader. */
    public boolean tryRenew(String agentZone, long agentTerm, long nowMicros) {
        if (!mayRenew(nowMicros) || !agentZone.equals(zone) || agentTerm > term || agentTerm == 0) {
            return false;
        }
        lastRenewalMicros = nowMicros;
        return true;
    }

    public PeerStatus status(long nowMicros) {
        return new PeerStatus(
                processId,
                nowMicros - startedMicros,
                nowMicros,
                term,
                leaderClockMicros,
                Math.max(0, renewFromMicros() - nowMicros),
                lastRenewalMicros == NEVER ? -1 : nowMicros - lastRenewalMicros,
                storeFails ? nowMicros - lastStoreAnswerMicros : 0);
    }
}
