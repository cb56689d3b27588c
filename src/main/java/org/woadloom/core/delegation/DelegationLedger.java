package org.woadloom.core.delegation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The leader's book of warrants: until when each node may have renewed leases in the leader's
 * absence. A worker that has acknowledged this term is renewed under warrants of this term alone,
 * so what earlier leaders gave away is of no account.
 */
public final class DelegationLedger {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final DelegationTimeouts timeouts;
    private final long term;
    private final String self;
    private final Map<String, Delegate> delegates = new LinkedHashMap<>();

    /** Every node is known to run a version that takes care. */
    private boolean enable;

    private static final class Delegate {
        final String zone;
        long processId;
        boolean known;

        /** When the last warrant was given; it may be held long after. */
        long grantedMicros = NEVER;

        /** The node takes no care before. */
        long noRenewalUntilMicros = NEVER;

        /** It took care for the last time at this moment or before. */
        long lastRenewalMicros = NEVER;

        Delegate(String zone) {
            this.zone = zone;
        }
    }

    /**
     * @param nodes all nodes with their zones
     */
    public DelegationLedger(
            DelegationTimeouts rules, long term, String self, Map<String, String> nodes) {
        this.timeouts = rules;
        this.term = term;
        this.self = self;
        nodes.forEach(
                (label, zone) -> {
                    if (!label.equals(self)) {
                        delegates.put(label, new Delegate(zone));
                    }
                });
    }

    public void enable() {
        enable = true;
    }

    /**
     * Takes in what a node says, and gives it a new warrant.
     *
     * @param settledMicros up to when every cancellation is carried out in its zone, or {@link
     *     Long#MIN_VALUE}
     */
    public LeaseDelegation onPeerStatus(
            String node, PeerStatus status, long cancellationsAppliedMicros, long nowMicros) {
        Delegate delegate = delegates.get(node);
        if (delegate != null) {
            update(delegate, status, nowMicros);
            delegate.grantedMicros = nowMicros;
        } else if (!node.equals(self)) {
            return null;
        }
        return new LeaseDelegation(
                term,
                status.sentMicros(),
                nowMicros,
                cancellationsAppliedMicros == Long.MIN_VALUE
                        ? LeaseDelegation.UNKNOWN_LAG
                        : nowMicros - cancellationsAppliedMicros);
    }

    private void update(Delegate delegate, PeerStatus status, long nowMicros) {
        if (delegate.known && delegate.processId != status.processId()) {
            // The process before this one may have taken care until it ended, which was before this
            // one began.
            long startedMicros =
                    nowMicros - DelegationTimeouts.shortestMicros(status.uptimeMicros());
            if (startedMicros > delegate.noRenewalUntilMicros) {
                delegate.lastRenewalMicros =
                        Math.max(
                                delegate.lastRenewalMicros,
                                Math.min(startedMicros, validUntilMicros(delegate)));
            }
        }
        delegate.known = true;
        delegate.processId = status.processId();
        if (status.term() == term) {
            delegate.noRenewalUntilMicros =
                    Math.max(
                            delegate.noRenewalUntilMicros,
                            status.echoedLeaderClockMicros()
                                    + DelegationTimeouts.shortestMicros(
                                            status.noRenewalForMicros()));
        }
        if (status.sinceLastRenewalMicros() >= 0) {
            delegate.lastRenewalMicros =
                    Math.max(
                            delegate.lastRenewalMicros,
                            nowMicros
                                    - DelegationTimeouts.shortestMicros(
                                            status.sinceLastRenewalMicros()));
        }
    }

    private long validUntilMicros(Delegate delegate) {
        return delegate.grantedMicros == NEVER
                ? NEVER
                : delegate.grantedMicros
                        + DelegationTimeouts.longestMicros(timeouts.delegationMicros());
    }

    /** No worker of the zone was answered by any node in this leader's place after this moment. */
    public long lastRenewalMicros(String zone, long nowMicros) {
        long last = NEVER;
        for (Delegate delegate : delegates.values()) {
            if (delegate.zone.equals(zone)) {
                last = Math.max(last, delegate.lastRenewalMicros);
                if (nowMicros > delegate.noRenewalUntilMicros) {
                    last = Math.max(last, Math.min(nowMicros, validUntilMicros(delegate)));
                }
            }
        }
        return last;
    }

    /**
     * For how much longer than usual to have patience with a silent zone, in which a node may be
     * taking care.
     */
    public long extraSilenceMicros(String zone, long nowMicros) {
        if (!enable || !timeouts.isUsable()) {
            return 0;
        }
        for (Delegate delegate : delegates.values()) {
            if (delegate.zone.equals(zone) && nowMicros > delegate.noRenewalUntilMicros) {
                return timeouts.delegationMicros();
            }
        }
        return 0;
    }
}
