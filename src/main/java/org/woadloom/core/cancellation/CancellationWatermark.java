package org.woadloom.core.cancellation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.delegation.DelegationTimeouts;

/**
 * The leader's low watermark of cancellations: the leader carries out every one that was confirmed
 * to any user before that moment, by its own clock. A complete read of the store advances it, and
 * so do the nodes by their reports, of which the lowest counts. Nothing is concluded from silence.
 */
public final class CancellationWatermark {
    private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

    private final long term;
    private final Map<String, NodeWatermark> nodeWatermarks = new LinkedHashMap<>();

    private static final class NodeWatermark {
        long processId;

        /**
         * Every cancellation that this process confirmed up to this moment of its clock is carried
         * out.
         */
        long coveredMicros = NEVER_MICROS;

        /**
         * Every cancellation that any process of the node confirmed up to this moment of the
         * leader's clock is carried out.
         */
        long watermarkMicros = NEVER_MICROS;
    }

    /**
     * @param nodes the labels of all nodes, this one's among them
     */
    public CancellationWatermark(long term, Iterable<String> nodes) {
        this.term = term;
        nodes.forEach(label -> nodeWatermarks.put(label, new NodeWatermark()));
    }

    /** Why a report can't have been sent by a node, or null if it can. */
    public static String validationError(WatermarkReport report, long nowMicros) {
        return report.completeSinceMicros() > report.sentMicros()
                ? "it begins after it was said"
                : report.promiseMicros() < 0
                                || report.promiseMicros()
                                        > ConfirmedCancellations.STORE_OUTAGE_PROMISE_MICROS
                        ? "a promise of " + report.promiseMicros() + " microseconds"
                        : report.echoedLeaderClockMicros() > nowMicros
                                ? "a time that is yet to come"
                                : null;
    }

    /**
     * Takes in a node's report; the jobs that it names must have been given to the scheduler.
     *
     * @param readUpToMicros every cancellation that was made before this moment was read from the
     *     store
     * @return the answer, or null where the report is not taken
     */
    public WatermarkAck onReport(
            String node, WatermarkReport report, long readUpToMicros, long nowMicros) {
        NodeWatermark nodeWatermark = nodeWatermarks.get(node);
        if (nodeWatermark == null
                || report.term() != term
                || validationError(report, nowMicros) != null) {
            return null;
        }
        // By this clock the report is complete since this moment at the latest, as it was sent
        // before it was received.
        long completeSinceMicros =
                nowMicros
                        - DelegationTimeouts.minElapsedMicros(
                                report.sentMicros() - report.completeSinceMicros());
        boolean continuesEarlierReports =
                (nodeWatermark.processId == report.processId()
                                && report.completeSinceMicros() <= nodeWatermark.coveredMicros)
                        || completeSinceMicros
                                <= Math.max(readUpToMicros, nodeWatermark.watermarkMicros);
        if (continuesEarlierReports) {
            nodeWatermark.coveredMicros =
                    nodeWatermark.processId == report.processId()
                            ? Math.max(nodeWatermark.coveredMicros, report.sentMicros())
                            : report.sentMicros();
            nodeWatermark.processId = report.processId();
            if (report.echoedLeaderClockMicros() != WatermarkReport.NO_LEADER_CLOCK) {
                nodeWatermark.watermarkMicros =
                        Math.max(
                                nodeWatermark.watermarkMicros,
                                report.echoedLeaderClockMicros()
                                        + Math.max(
                                                0,
                                                DelegationTimeouts.minElapsedMicros(
                                                        report.promiseMicros())));
            }
        }
        return new WatermarkAck(term, report.processId(), report.sentMicros(), nowMicros);
    }

    /** Every cancellation that was confirmed to anybody before this moment is carried out. */
    public long watermarkMicros(long readUpToMicros) {
        long lowest = Long.MAX_VALUE;
        for (NodeWatermark nodeWatermark : nodeWatermarks.values()) {
            lowest = Math.min(lowest, nodeWatermark.watermarkMicros);
        }
        return Math.max(readUpToMicros, lowest);
    }

    /**
     * The nodes with the lowest watermark, as an operator wants to know which of them hold the
     * leader back.
     */
    public List<String> slowestNodes(long readUpToMicros) {
        long lowest = watermarkMicros(readUpToMicros);
        return nodeWatermarks.entrySet().stream()
                .filter(
                        entry ->
                                Math.max(readUpToMicros, entry.getValue().watermarkMicros)
                                        <= lowest)
                .map(Map.Entry::getKey)
                .toList();
    }
}
