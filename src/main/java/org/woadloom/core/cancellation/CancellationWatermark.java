package org.woadloom.core.cancellation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.delegation.DelegationTimeouts;

/**
 * The leader's low watermark of cancellations: the leader has applied every cancellation that any
 * node confirmed to a user before this time, on the leader's clock.
 *
 * <p>A complete read of the store advances the watermark, and so do the nodes' reports, of which
 * the lowest counts. A node that sends no reports holds it back.
 */
public final class CancellationWatermark {
    private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

    private final long term;
    private final Map<String, NodeWatermark> nodeWatermarks = new LinkedHashMap<>();

    private static final class NodeWatermark {
        long processId;

        /**
         * The leader has applied every cancellation that this process confirmed up to this time, on
         * the node's clock.
         */
        long coveredMicros = NEVER_MICROS;

        /**
         * The leader has applied every cancellation that any process of the node confirmed up to
         * this time, on the leader's clock.
         */
        long watermarkMicros = NEVER_MICROS;
    }

    /**
     * @param nodes the labels of all nodes, including this one
     */
    public CancellationWatermark(long term, Iterable<String> nodes) {
        this.term = term;
        nodes.forEach(label -> nodeWatermarks.put(label, new NodeWatermark()));
    }

    /** Returns why a report is invalid, or null if it is valid. */
    public static String validationError(WatermarkReport report, long nowMicros) {
        return report.completeSinceMicros() > report.sentMicros()
                ? "completeSinceMicros "
                        + report.completeSinceMicros()
                        + " is after sentMicros "
                        + report.sentMicros()
                : report.promiseMicros() < 0
                                || report.promiseMicros()
                                        > ConfirmedCancellations.STORE_OUTAGE_PROMISE_MICROS
                        ? "promiseMicros "
                                + report.promiseMicros()
                                + " is not between 0 and "
                                + ConfirmedCancellations.STORE_OUTAGE_PROMISE_MICROS
                        : report.echoedLeaderClockMicros() > nowMicros
                                ? "echoedLeaderClockMicros "
                                        + report.echoedLeaderClockMicros()
                                        + " is after the leader's time "
                                        + nowMicros
                                : null;
    }

    /**
     * Handles a node's report. If it is acknowledged, the caller must pass the jobs that it names
     * to the scheduler before it sends the acknowledgement.
     *
     * @param readUpToMicros every cancellation stored before this time was read from the store
     * @return the acknowledgement, or null if the report is ignored
     */
    public WatermarkAck onReport(
            String node, WatermarkReport report, long readUpToMicros, long nowMicros) {
        NodeWatermark nodeWatermark = nodeWatermarks.get(node);
        if (nodeWatermark == null
                || report.term() != term
                || validationError(report, nowMicros) != null) {
            return null;
        }
        // The node measured this span on its own clock. The report was sent before it arrived, so
        // counting back from now gives the latest possible time, on this clock, since when it is
        // complete.
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

    /** Returns the watermark: every cancellation confirmed before this time is applied. */
    public long watermarkMicros(long readUpToMicros) {
        long lowestMicros = Long.MAX_VALUE;
        for (NodeWatermark nodeWatermark : nodeWatermarks.values()) {
            lowestMicros = Math.min(lowestMicros, nodeWatermark.watermarkMicros);
        }
        return Math.max(readUpToMicros, lowestMicros);
    }

    /** Returns the nodes that hold the watermark back, for the operator. */
    public List<String> slowestNodes(long readUpToMicros) {
        long lowestMicros = watermarkMicros(readUpToMicros);
        return nodeWatermarks.entrySet().stream()
                .filter(
                        entry ->
                                Math.max(readUpToMicros, entry.getValue().watermarkMicros)
                                        <= lowestMicros)
                .map(Map.Entry::getKey)
                .toList();
    }
}
