package org.woadloom.core.delegation;

/**
 * Decides when a node that is cut off may renew the leases of its zone's agents by itself: while it
 * holds a delegation of the leader that it has lost, and only after it has received nothing from
 * the leader or the store for a while, so that its promises to the leader hold. A process that was
 * restarted holds no delegation.
 */
public final class LeaseDelegate {
    private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

    private final DelegationTimeouts timeouts;
    private final String zone;
    private final long processId;
    private final long startedMicros;
    private long term;
    private long leaderClockMicros;
    private long validUntilMicros = NEVER_MICROS;
    private long lastLeaderContactMicros;
    private long lastStoreAnswerMicros;
    private boolean isStoreFailing;
    private long lastRenewalMicros = NEVER_MICROS;

    public LeaseDelegate(DelegationTimeouts timeouts, String zone, long processId, long nowMicros) {
        this.timeouts = timeouts;
        this.zone = zone;
        this.processId = processId;
        this.startedMicros = nowMicros;
        this.lastLeaderContactMicros = nowMicros;
        this.lastStoreAnswerMicros = nowMicros;
    }

    /** Takes in a delegation; one of an earlier term is void. */
    public void onDelegation(LeaseDelegation delegation) {
        if (delegation.term() < term) {
            return;
        }
        if (delegation.term() > term) {
            validUntilMicros = NEVER_MICROS;
            leaderClockMicros = delegation.leaderClockMicros();
        }
        term = delegation.term();
        leaderClockMicros = Math.max(leaderClockMicros, delegation.leaderClockMicros());
        // By the time when the status was sent, as the answer may have been held up on its way.
        lastLeaderContactMicros = Math.max(lastLeaderContactMicros, delegation.statusSentMicros());
        if (delegation.cancellationLagMicros() < LeaseDelegation.UNKNOWN_LAG) {
            validUntilMicros =
                    Math.max(
                            validUntilMicros,
                            delegation.statusSentMicros()
                                    - delegation.cancellationLagMicros()
                                    + timeouts.validityMicros());
        }
    }

    /** The store has answered this node. */
    public void onStoreAnswered(long nowMicros) {
        lastStoreAnswerMicros = nowMicros;
        isStoreFailing = false;
    }

    /** A request to the store has failed. */
    public void onStoreFailed() {
        isStoreFailing = true;
    }

    /** Whether this node has received nothing from leader and store for long enough. */
    private boolean isPartitioned(long nowMicros) {
        return isStoreFailing && nowMicros > renewFromMicros();
    }

    /** Whether this node is cut off and holds a valid delegation. */
    public boolean mayRenew(long nowMicros) {
        return timeouts.allowsDelegation()
                && isPartitioned(nowMicros)
                && nowMicros <= validUntilMicros;
    }

    private long renewFromMicros() {
        return Math.max(lastLeaderContactMicros, lastStoreAnswerMicros)
                + timeouts.partitionSilenceMicros();
    }

    /** Whether to renew an agent's lease now; a renewal is noted for the next status. */
    public boolean tryRenew(String agentZone, long agentTerm, long nowMicros) {
        if (!mayRenew(nowMicros) || !agentZone.equals(zone) || agentTerm > term || agentTerm == 0) {
            return false;
        }
        lastRenewalMicros = nowMicros;
        return true;
    }

    /** The status to send to the leader. */
    public PeerStatus status(long nowMicros) {
        return new PeerStatus(
                processId,
                nowMicros - startedMicros,
                nowMicros,
                term,
                leaderClockMicros,
                Math.max(0, renewFromMicros() - nowMicros),
                lastRenewalMicros == NEVER_MICROS ? -1 : nowMicros - lastRenewalMicros,
                isStoreFailing ? nowMicros - lastStoreAnswerMicros : 0);
    }
}
