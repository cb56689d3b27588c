package org.woadloom.core.delegation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The leader's record of its delegations: until when each node may have renewed leases by itself.
 * An agent that has acknowledged this term is renewed under delegations of this term alone, so
 * those of earlier leaders need not be known.
 */
public final class DelegationLedger {
    private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

    private final DelegationTimeouts timeouts;
    private final long term;
    private final String self;
    private final Map<String, Delegate> delegates = new LinkedHashMap<>();

    /** Whether every node runs a version that can renew leases. */
    private boolean enabled;

    private static final class Delegate {
        final String zone;
        long processId;
        boolean known;

        /** When the last delegation was sent; the node may hold it long after. */
        long grantedMicros = NEVER_MICROS;

        /** The node renews no lease before this moment. */
        long noRenewalUntilMicros = NEVER_MICROS;

        /** The node renewed a lease for the last time at this moment or before. */
        long lastRenewalMicros = NEVER_MICROS;

        Delegate(String zone) {
            this.zone = zone;
        }
    }

    /**
     * @param nodes all nodes with their zones
     */
    public DelegationLedger(
            DelegationTimeouts timeouts, long term, String self, Map<String, String> nodes) {
        this.timeouts = timeouts;
        this.term = term;
        this.self = self;
        nodes.forEach(
                (label, zone) -> {
                    if (!label.equals(self)) {
                        delegates.put(label, new Delegate(zone));
                    }
                });
    }

    /** Every node runs a version that can renew leases. */
    public void enable() {
        enabled = true;
    }

    /**
     * Takes in a node's status, and answers it by a new delegation.
     *
     * @param cancellationsAppliedMicros up to when every cancellation is carried out in its zone,
     *     {@link Long#MIN_VALUE} where that is not known
     * @return the delegation, or null for a node that the settings do not name
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
            // The process before this one may have renewed leases until it ended, which was before
            // this one started.
            long startedMicros =
                    nowMicros - DelegationTimeouts.minElapsedMicros(status.uptimeMicros());
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
                                    + DelegationTimeouts.minElapsedMicros(
                                            status.noRenewalForMicros()));
        }
        if (status.sinceLastRenewalMicros() >= 0) {
            delegate.lastRenewalMicros =
                    Math.max(
                            delegate.lastRenewalMicros,
                            nowMicros
                                    - DelegationTimeouts.minElapsedMicros(
                                            status.sinceLastRenewalMicros()));
        }
    }

    private long validUntilMicros(Delegate delegate) {
        return delegate.grantedMicros == NEVER_MICROS
                ? NEVER_MICROS
                : delegate.grantedMicros
                        + DelegationTimeouts.maxElapsedMicros(timeouts.validityMicros());
    }

    /** No lease of the zone was renewed by any other node after this moment. */
    public long latestPossibleRenewalMicros(String zone, long nowMicros) {
        long last = NEVER_MICROS;
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
     * For how much longer than usual a zone may be silent before its machines are given up, as a
     * node may be renewing their leases.
     */
    public long extraSilenceAllowanceMicros(String zone, long nowMicros) {
        if (!enabled || !timeouts.allowsDelegation()) {
            return 0;
        }
        for (Delegate delegate : delegates.values()) {
            if (delegate.zone.equals(zone) && nowMicros > delegate.noRenewalUntilMicros) {
                return timeouts.validityMicros();
            }
        }
        return 0;
    }
}
