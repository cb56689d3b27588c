package org.woadloom.core.cancellation;

/**
 * The leader's acknowledgement of a {@link WatermarkReport}: the leader has applied every
 * cancellation that the report names.
 *
 * @param term the leader's term
 * @param processId the process that sent the report
 * @param reportSentMicros when the report was sent, on the node's clock
 * @param leaderClockMicros the current time on the leader's clock
 */
public record WatermarkAck(
        long term, long processId, long reportSentMicros, long leaderClockMicros) {}
