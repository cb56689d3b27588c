package org.woadloom.core.delegation;

/**
 * When a node that is cut off may renew the leases of its zone's workers by itself. It may while it
 * holds a warrant of the leader that it has lost, and only after it has heard neither the leader
 * nor the state service for a while, so that its promises to the leader hold. A process that was
 * started anew holds no warrant.
 */
public final class LeaseDelegate {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final DelegationTimeouts rules;
    private final String zone;
    private final long life;
    private final long startedMicros;
    private long term;
    private long leaderMicros;
    private long untilMicros = NEVER;
    private long contactMicros;
    private long stateMicros;
    private boolean stateFails;
    private long caredMicros = NEVER;

    public LeaseDelegate(DelegationTimeouts rules, String zone, long life, long nowMicros) {
        this.rules = rules;
        this.zone = zone;
        this.life = life;
        this.startedMicros = nowMicros;
        this.contactMicros = nowMicros;
        this.stateMicros = nowMicros;
    }

    /** A warrant has come; one of an earlier term is of the past. */
    public void warranted(LeaseDelegation warrant) {
        if (warrant.term() < term) {
            return;
        }
        if (warrant.term() > term) {
            untilMicros = NEVER;
            leaderMicros = warrant.leaderMicros();
        }
        term = warrant.term();
        leaderMicros = Math.max(leaderMicros, warrant.leaderMicros());
        // By the time when the node spoke, as the answer may have been held up on its way.
        contactMicros = Math.max(contactMicros, warrant.saidMicros());
        if (warrant.settledMicros() < LeaseDelegation.UNSETTLED) {
            untilMicros =
                    Math.max(
                            untilMicros,
                            warrant.saidMicros() - warrant.settledMicros() + rules.careMicros());
        }
    }

    public void stateAnswered(long nowMicros) {
        stateMicros = nowMicros;
        stateFails = false;
    }

    public void stateFailed() {
        stateFails = true;
    }

    /** True while this node has lost the leader and the state service for long enough. */
    private boolean cutOff(long nowMicros) {
        return stateFails && nowMicros > careFromMicros();
    }

    /** True while it is cut off and its warrant lasts. */
    public boolean mayCare(long nowMicros) {
        return rules.worthwhile() && cutOff(nowMicros) && nowMicros <= untilMicros;
    }

    private long careFromMicros() {
        return Math.max(contactMicros, stateMicros) + rules.patienceMicros();
    }

    /** Whether to renew a worker's lease; that it is done is remembered for the leader. */
    public boolean takesCare(String workersYard, long workersTerm, long nowMicros) {
        if (!mayCare(nowMicros)
                || !workersYard.equals(zone)
                || workersTerm > term
                || workersTerm == 0) {
            return false;
        }
        caredMicros = nowMicros;
        return true;
    }

    public PeerStatus standing(long nowMicros) {
        return new PeerStatus(
                life,
                nowMicros - startedMicros,
                nowMicros,
                term,
                leaderMicros,
                Math.max(0, careFromMicros() - nowMicros),
                caredMicros == NEVER ? -1 : nowMicros - caredMicros,
                stateFails ? nowMicros - stateMicros : 0);
    }
}
