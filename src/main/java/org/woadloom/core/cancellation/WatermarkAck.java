package org.woadloom.core.cancellation;

/**
 * The leader's answer to a {@link WatermarkReport}: it carries out every cancellation that this
 * named.
 *
 * @param term the leader's term
 * @param processId the process that sent the report
 * @param reportSentMicros when the report was sent, by the node's clock
 * @param leaderClockMicros the time by the leader's clock
 */
public record WatermarkAck(
        long term, long processId, long reportSentMicros, long leaderClockMicros) {}
