package org.woadloom.core.liveness;

/**
 * The times by which workers are judged, all from the platform's settings.
 *
 * @param freshMicros a message that is known to be no older counts as made now; also how long a
 *     worker may take to show that it has heard a new token before it gets no new work
 * @param deafMicros a worker that reports for so long without having heard a token is deaf: in this
 *     time it has tried two nodes
 * @param answerMicros a worker waits no longer for an answer
 */
public record LivenessTimeouts(long freshMicros, long unreachableMicros, long answerTimeoutMicros) {
    private static final long ANSWER_MICROS = 4_000_000;
    private static final long NEXT_NODE_MICROS = 1_000_000;
    private static final long MARGIN_MICROS = 500_000;

    public static LivenessTimeouts of(long reportMicros, long leaseMicros) {
        return new LivenessTimeouts(
                2 * reportMicros + MARGIN_MICROS,
                Math.max(
                        leaseMicros / 2,
                        reportMicros + ANSWER_MICROS + NEXT_NODE_MICROS + MARGIN_MICROS),
                ANSWER_MICROS + MARGIN_MICROS);
    }
}
