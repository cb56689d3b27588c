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

    private final DelegationTimeouts rules;
    private final long term;
    private final String self;
    private final Map<String, Delegate> holders = new LinkedHashMap<>();

    /** Every node is known to run a version that takes care. */
    private boolean agreed;

    private static final class Delegate {
        final String zone;
        long life;
        boolean heard;

        /** When the last warrant was given; it may be held long after. */
        long givenMicros = NEVER;

        /** The node takes no care before. */
        long promisedMicros = NEVER;

        /** It took care for the last time at this moment or before. */
        long caredMicros = NEVER;

        Delegate(String zone) {
            this.zone = zone;
        }
    }

    /**
     * @param nodes all nodes with their zones
     */
    public DelegationLedger(
            DelegationTimeouts rules, long term, String self, Map<String, String> nodes) {
        this.rules = rules;
        this.term = term;
        this.self = self;
        nodes.forEach(
                (label, zone) -> {
                    if (!label.equals(self)) {
                        holders.put(label, new Delegate(zone));
                    }
                });
    }

    public void agreed() {
        agreed = true;
    }

    /**
     * Takes in what a node says, and gives it a new warrant.
     *
     * @param settledMicros up to when every cancellation is carried out in its zone, or {@link
     *     Long#MIN_VALUE}
     */
    public LeaseDelegation heard(String node, PeerStatus said, long settledMicros, long nowMicros) {
        Delegate holder = holders.get(node);
        if (holder != null) {
            note(holder, said, nowMicros);
            holder.givenMicros = nowMicros;
        } else if (!node.equals(self)) {
            return null;
        }
        return new LeaseDelegation(
                term,
                said.saidMicros(),
                nowMicros,
                settledMicros == Long.MIN_VALUE
                        ? LeaseDelegation.UNSETTLED
                        : nowMicros - settledMicros);
    }

    private void note(Delegate holder, PeerStatus said, long nowMicros) {
        if (holder.heard && holder.life != said.life()) {
            // The process before this one may have taken care until it ended, which was before this
            // one began.
            long began = nowMicros - DelegationTimeouts.sooner(said.aliveMicros());
            if (began > holder.promisedMicros) {
                holder.caredMicros =
                        Math.max(holder.caredMicros, Math.min(began, lastHeldMicros(holder)));
            }
        }
        holder.heard = true;
        holder.life = said.life();
        if (said.term() == term) {
            holder.promisedMicros =
                    Math.max(
                            holder.promisedMicros,
                            said.echoMicros() + DelegationTimeouts.sooner(said.promiseMicros()));
        }
        if (said.caredMicros() >= 0) {
            holder.caredMicros =
                    Math.max(
                            holder.caredMicros,
                            nowMicros - DelegationTimeouts.sooner(said.caredMicros()));
        }
    }

    private long lastHeldMicros(Delegate holder) {
        return holder.givenMicros == NEVER
                ? NEVER
                : holder.givenMicros + DelegationTimeouts.later(rules.careMicros());
    }

    /** No worker of the zone was answered by any node in this leader's place after this moment. */
    public long lastCareMicros(String zone, long nowMicros) {
        long last = NEVER;
        for (Delegate holder : holders.values()) {
            if (holder.zone.equals(zone)) {
                last = Math.max(last, holder.caredMicros);
                if (nowMicros > holder.promisedMicros) {
                    last = Math.max(last, Math.min(nowMicros, lastHeldMicros(holder)));
                }
            }
        }
        return last;
    }

    /**
     * For how much longer than usual to have patience with a silent zone, in which a node may be
     * taking care.
     */
    public long patienceMicros(String zone, long nowMicros) {
        if (!agreed || !rules.worthwhile()) {
            return 0;
        }
        for (Delegate holder : holders.values()) {
            if (holder.zone.equals(zone) && nowMicros > holder.promisedMicros) {
                return rules.careMicros();
            }
        }
        return 0;
    }
}
