package org.woadloom.core.cancellation;

import java.util.List;

/**
 * A node's report to the leader on the cancellations that it has confirmed to users.
 *
 * <p>The report names every job whose cancellation was confirmed after {@code completeSinceMicros}
 * and up to {@code sentMicros}. It promises that for {@code promiseMicros} after {@code sentMicros}
 * the node confirms no cancellation that the leader has not acknowledged. Times are on the node's
 * clock unless stated otherwise.
 *
 * @param term the term of the leader that the report is for
 * @param processId distinguishes the node's successive processes
 * @param sentMicros when the report was sent
 * @param completeSinceMicros since when the report is complete
 * @param echoedLeaderClockMicros the latest time on that leader's clock that the node has received,
 *     or {@link #NO_LEADER_CLOCK}
 * @param promiseMicros how long the promise holds
 * @param jobIds the jobs, which the store holds as cancelled
 */
public record WatermarkReport(
        long term,
        long processId,
        long sentMicros,
        long completeSinceMicros,
        long echoedLeaderClockMicros,
        long promiseMicros,
        List<String> jobIds) {
    /** The node has received no time on the leader's clock. */
    public static final long NO_LEADER_CLOCK = Long.MIN_VALUE;
}
