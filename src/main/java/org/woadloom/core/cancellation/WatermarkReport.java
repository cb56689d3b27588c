package org.woadloom.core.cancellation;

import java.util.List;

/**
 * What a node vouches for to the leader: of every cancellation that it has told anybody of after
 * {@code sinceMicros} and up to {@code saidMicros} the job is named here, and until {@code
 * promiseMicros} after that it tells of none that the leader has not taken in. Times are the node's
 * own unless said otherwise.
 *
 * @param term the term of the leader that it is for
 * @param life tells the node's processes apart
 * @param echoMicros the latest time of that leader's clock that the node has seen, {@link #NONE}
 *     for none
 * @param jobs the jobs that the state service has said are cancelled
 */
public record WatermarkReport(
        long term,
        long processId,
        long sentMicros,
        long sinceMicros,
        long echoedLeaderClockMicros,
        long promiseMicros,
        List<String> jobIds) {
    public static final long NONE = Long.MIN_VALUE;
}
