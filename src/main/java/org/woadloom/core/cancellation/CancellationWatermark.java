package org.woadloom.core.cancellation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.delegation.DelegationTimeouts;

/**
 * The leader's low watermark of cancellations: it carries out every one that any user was told of
 * before that moment, by its own clock. A complete view of the state service moves it, and so do
 * the nodes, each by what it vouches for; the least of them counts. Nothing is concluded from
 * silence.
 */
public final class CancellationWatermark {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final long term;
    private final Map<String, Holder> holders = new LinkedHashMap<>();

    private static final class Holder {
        long life;

        /**
         * Everything that this process of the node told up to this moment of its clock is carried
         * out.
         */
        long coveredMicros = NEVER;

        /**
         * Everything that any process of the node told up to this moment of the leader's clock is
         * carried out.
         */
        long watermarkMicros = NEVER;
    }

    /**
     * @param nodes the labels of all nodes, this one's among them
     */
    public CancellationWatermark(long term, Iterable<String> nodes) {
        this.term = term;
        nodes.forEach(label -> holders.put(label, new Holder()));
    }

    /** Why a vouch can't be what a node said, or null. */
    public static String flaw(WatermarkReport vouch, long nowMicros) {
        return vouch.sinceMicros() > vouch.saidMicros()
                ? "it begins after it was said"
                : vouch.promiseMicros() < 0
                                || vouch.promiseMicros()
                                        > ConfirmedCancellations.SILENT_PROMISE_MICROS
                        ? "a promise of " + vouch.promiseMicros() + " microseconds"
                        : vouch.echoMicros() > nowMicros ? "a time that is yet to come" : null;
    }

    /**
     * A node vouches; the jobs that it names must have been given to the core.
     *
     * @param seenMicros every cancellation that was made before this moment was read from the state
     *     service
     * @return the answer, or null where there is none
     */
    public WatermarkAck heard(String node, WatermarkReport vouch, long seenMicros, long nowMicros) {
        Holder holder = holders.get(node);
        if (holder == null || vouch.term() != term || flaw(vouch, nowMicros) != null) {
            return null;
        }
        // The moment since which it is complete, by this clock, at the latest: it was said before
        // it came.
        long since =
                nowMicros - DelegationTimeouts.sooner(vouch.saidMicros() - vouch.sinceMicros());
        boolean follows =
                holder.life == vouch.life() && vouch.sinceMicros() <= holder.coveredMicros
                        || since <= Math.max(seenMicros, holder.watermarkMicros);
        if (follows) {
            holder.coveredMicros =
                    holder.life == vouch.life()
                            ? Math.max(holder.coveredMicros, vouch.saidMicros())
                            : vouch.saidMicros();
            holder.life = vouch.life();
            if (vouch.echoMicros() != WatermarkReport.NONE) {
                holder.watermarkMicros =
                        Math.max(
                                holder.watermarkMicros,
                                vouch.echoMicros()
                                        + Math.max(
                                                0,
                                                DelegationTimeouts.sooner(vouch.promiseMicros())));
            }
        }
        return new WatermarkAck(term, vouch.life(), vouch.saidMicros(), nowMicros);
    }

    /** Every cancellation that anybody was told of before this moment is carried out. */
    public long micros(long seenMicros) {
        long least = Long.MAX_VALUE;
        for (Holder holder : holders.values()) {
            least = Math.min(least, holder.watermarkMicros);
        }
        return Math.max(seenMicros, least);
    }

    /**
     * The nodes that have vouched for the least, as an operator wants to know who holds the leader
     * back.
     */
    public List<String> behind(long seenMicros) {
        long least = micros(seenMicros);
        return holders.entrySet().stream()
                .filter(entry -> Math.max(seenMicros, entry.getValue().watermarkMicros) <= least)
                .map(Map.Entry::getKey)
                .toList();
    }
}
