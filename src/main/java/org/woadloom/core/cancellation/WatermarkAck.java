package org.woadloom.core.cancellation;

/**
 * The leader's answer to a {@link WatermarkReport}: it carries out what that named.
 *
 * @param saidMicros the vouch's time, by the node's clock
 * @param leaderMicros the time by the leader's clock
 */
public record WatermarkAck(
        long term, long processId, long reportSentMicros, long leaderClockMicros) {}
