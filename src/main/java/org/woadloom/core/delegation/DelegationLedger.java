package org.woadloom.core.delegation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The leader's record of its delegations: until when each node may have renewed leases on its own.
 *
 * <p>Delegations of earlier leaders need not be tracked: once an agent has acknowledged this term,
 * its lease is renewed only under delegations of this term.
 */
public final class DelegationLedger {
    private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

    private final DelegationTimeouts timeouts;
    private final long term;
    private final String self;
    private final Map<String, Delegate> delegates = new LinkedHashMap<>();

    /** True if every node runs a version that supports delegation. */
    private boolean enabled;

    private static final class Delegate {
        final String zone;
        long processId;
        boolean hasReported;

        /** When the last delegation was sent; it may reach the node much later. */
        long lastDelegationMicros = NEVER_MICROS;

        /** Until this time, the node renews no lease. */
        long noRenewalUntilMicros = NEVER_MICROS;

        /** Upper bound for the time of the node's latest renewal. */
        long lastRenewalMicros = NEVER_MICROS;

        Delegate(String zone) {
            this.zone = zone;
        }
    }

    /**
     * @param nodes the zone of each node, by label
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

    /** Enables delegation, because every node runs a version that supports it. */
    public void enable() {
        enabled = true;
    }

    /**
     * Handles a node's status and returns a new delegation in response.
     *
     * @param cancellationsAppliedMicros every cancellation made up to this time is carried out in
     *     the node's zone; {@link Long#MIN_VALUE} if unknown
     * @return the delegation, or null for a node that is not in the settings
     */
    public LeaseDelegation onPeerStatus(
            String node, PeerStatus status, long cancellationsAppliedMicros, long nowMicros) {
        Delegate delegate = delegates.get(node);
        if (delegate != null) {
            update(delegate, status, nowMicros);
            delegate.lastDelegationMicros = nowMicros;
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
        if (delegate.hasReported && delegate.processId != status.processId()) {
            // The previous process may have renewed leases until it ended, which was before this
            // one started.
            long startedMicros =
                    nowMicros - DelegationTimeouts.minElapsedMicros(status.uptimeMicros());
            if (startedMicros > delegate.noRenewalUntilMicros) {
                delegate.lastRenewalMicros =
                        Math.max(
                                delegate.lastRenewalMicros,
                                Math.min(startedMicros, validUntilMicros(delegate)));
            }
        }
        delegate.hasReported = true;
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
        return delegate.lastDelegationMicros == NEVER_MICROS
                ? NEVER_MICROS
                : delegate.lastDelegationMicros
                        + DelegationTimeouts.maxElapsedMicros(timeouts.validityMicros());
    }

    /**
     * Upper bound for the time of the latest renewal of any of the zone's leases by another node.
     */
    public long latestPossibleRenewalMicros(String zone, long nowMicros) {
        long latestMicros = NEVER_MICROS;
        for (Delegate delegate : delegates.values()) {
            if (delegate.zone.equals(zone)) {
                latestMicros = Math.max(latestMicros, delegate.lastRenewalMicros);
                if (nowMicros > delegate.noRenewalUntilMicros) {
                    latestMicros =
                            Math.max(latestMicros, Math.min(nowMicros, validUntilMicros(delegate)));
                }
            }
        }
        return latestMicros;
    }

    /**
     * How much longer than usual a zone may be silent before its machines count as lost, because a
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
