package org.woadloom.core.delegation;

/**
 * Decides when a partitioned node may renew the leases of its zone's agents on its own.
 *
 * <p>It may do so while it holds a valid delegation of the leader that it can no longer reach, and
 * only after it has received nothing from the leader or the store for a while, as it announces in
 * its status. A delegation does not survive a restart of the process.
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

    /** Handles a delegation; one of an earlier term is ignored. */
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
        // Counted from when the status was sent, because the response may have been delayed in
        // transit.
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

    public void onStoreAnswered(long nowMicros) {
        lastStoreAnswerMicros = nowMicros;
        isStoreFailing = false;
    }

    public void onStoreFailed() {
        isStoreFailing = true;
    }

    /** True if this node has received nothing from the leader and the store for long enough. */
    private boolean isPartitioned(long nowMicros) {
        return isStoreFailing && nowMicros > renewFromMicros();
    }

    /** True if this node is partitioned and holds a valid delegation. */
    public boolean mayRenew(long nowMicros) {
        return timeouts.allowsDelegation()
                && isPartitioned(nowMicros)
                && nowMicros <= validUntilMicros;
    }

    private long renewFromMicros() {
        return Math.max(lastLeaderContactMicros, lastStoreAnswerMicros)
                + timeouts.partitionSilenceMicros();
    }

    /**
     * Returns true if an agent's lease is to be renewed now, and then records the renewal for the
     * next status.
     */
    public boolean tryRenew(String agentZone, long agentTerm, long nowMicros) {
        if (!mayRenew(nowMicros) || !agentZone.equals(zone) || agentTerm > term || agentTerm == 0) {
            return false;
        }
        lastRenewalMicros = nowMicros;
        return true;
    }

    /** Returns the status to send to the leader. */
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
