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
    public static String validationError(WatermarkReport report, long nowMicros) {
        return report.sinceMicros() > report.sentMicros()
                ? "it begins after it was said"
                : report.promiseMicros() < 0
                                || report.promiseMicros()
                                        > ConfirmedCancellations.SILENT_PROMISE_MICROS
                        ? "a promise of " + report.promiseMicros() + " microseconds"
                        : report.echoedLeaderClockMicros() > nowMicros
                                ? "a time that is yet to come"
                                : null;
    }

    /**
     * A node vouches; the jobs that it names must have been given to the core.
     *
     * @param seenMicros every cancellation that was made before this moment was read from the state
     *     service
     * @return the answer, or null where there is none
     */
    public WatermarkAck onReport(
            String node, WatermarkReport report, long readUpToMicros, long nowMicros) {
        Holder holder = holders.get(node);
        if (holder == null || report.term() != term || validationError(report, nowMicros) != null) {
            return null;
        }
        // The moment since which it is complete, by this clock, at the latest: it was said before
        // it came.
        long completeSinceMicros =
                nowMicros
                        - DelegationTimeouts.shortestMicros(
                                report.sentMicros() - report.sinceMicros());
        boolean follows =
                holder.life == report.processId() && report.sinceMicros() <= holder.coveredMicros
                        || completeSinceMicros <= Math.max(readUpToMicros, holder.watermarkMicros);
        if (follows) {
            holder.coveredMicros =
                    holder.life == report.processId()
                            ? Math.max(holder.coveredMicros, report.sentMicros())
                            : report.sentMicros();
            holder.life = report.processId();
            if (report.echoedLeaderClockMicros() != WatermarkReport.NONE) {
                holder.watermarkMicros =
                        Math.max(
                                holder.watermarkMicros,
                                report.echoedLeaderClockMicros()
                                        + Math.max(
                                                0,
                                                DelegationTimeouts.shortestMicros(
                                                        report.promiseMicros())));
            }
        }
        return new WatermarkAck(term, report.processId(), report.sentMicros(), nowMicros);
    }

    /** Every cancellation that anybody was told of before this moment is carried out. */
    public long watermarkMicros(long readUpToMicros) {
        long least = Long.MAX_VALUE;
        for (Holder holder : holders.values()) {
            least = Math.min(least, holder.watermarkMicros);
        }
        return Math.max(readUpToMicros, least);
    }

    /**
     * The nodes that have vouched for the least, as an operator wants to know who holds the leader
     * back.
     */
    public List<String> laggards(long readUpToMicros) {
        long least = watermarkMicros(readUpToMicros);
        return holders.entrySet().stream()
                .filter(
                        entry ->
                                Math.max(readUpToMicros, entry.getValue().watermarkMicros) <= least)
                .map(Map.Entry::getKey)
                .toList();
    }
}
