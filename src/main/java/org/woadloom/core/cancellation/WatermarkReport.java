package org.woadloom.core.cancellation;

import java.util.List;

/**
 * A node's report to the leader on the cancellations that it has confirmed to users. It names the
 * job of each one that was confirmed after {@code completeSinceMicros} and up to {@code
 * sentMicros}, and promises that until {@code promiseMicros} later none is confirmed that the
 * leader has not acknowledged. Times are by the node's clock unless said otherwise.
 *
 * @param term the term of the leader that it is for
 * @param processId tells the node's processes apart
 * @param sentMicros when the report was sent
 * @param completeSinceMicros from when on the report is complete
 * @param echoedLeaderClockMicros the latest time of that leader's clock that the node has seen,
 *     {@link #NONE} for none
 * @param promiseMicros for how long the promise holds
 * @param jobIds the jobs that the store holds as cancelled
 */
public record WatermarkReport(
        long term,
        long processId,
        long sentMicros,
        long completeSinceMicros,
        long echoedLeaderClockMicros,
        long promiseMicros,
        List<String> jobIds) {
    /** No time of the leader's clock has been seen. */
    public static final long NO_LEADER_CLOCK = Long.MIN_VALUE;
}
