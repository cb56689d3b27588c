package org.woadloom.http;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.CoalescingJobReader.JobView;
import org.woadloom.reads.QueryRefusal;

/**
 * Decides whether a status that was read may be told to a user yet. A cancellation is told only
 * once it is confirmed. A job that waits for others is not shown as queued once one of them is
 * cancelled: its own cancellation is the leader's to write, and there may have been no leader, or
 * one that was cut off from the store.
 */
final class StatusConfirmer {
    private final CoalescingJobReader reader;
    private final JobApi.CancellationConfirmation confirmation;

    StatusConfirmer(CoalescingJobReader reader, JobApi.CancellationConfirmation confirmation) {
        this.reader = reader;
        this.confirmation = confirmation;
    }

    /**
     * Reports empty if the status may be told, or else why it may not be.
     *
     * @param timeoutMicros for how long the user still waits
     */
    void confirm(JobView job, long timeoutMicros, Consumer<Optional<QueryRefusal>> result) {
        if (job.status().isCancelled()) {
            confirmation.confirm(
                    job.status().jobId(),
                    timeoutMicros,
                    confirmed ->
                            result.accept(
                                    refuseUnless(
                                            confirmed, QueryRefusal.CANCELLATION_UNCONFIRMED)));
        } else {
            checkNoneCancelled(
                    job.dependencies(),
                    noneCancelled ->
                            result.accept(
                                    refuseUnless(
                                            noneCancelled, QueryRefusal.DEPENDENCY_CANCELLED)));
        }
    }

    private static Optional<QueryRefusal> refuseUnless(boolean allowed, QueryRefusal reason) {
        return allowed ? Optional.empty() : Optional.of(reason);
    }

    /**
     * Whether the store says of each of these jobs, and of their dependencies in turn, that it is
     * not cancelled.
     */
    private void checkNoneCancelled(List<String> jobIds, Consumer<Boolean> result) {
        if (jobIds.isEmpty()) {
            result.accept(true);
            return;
        }
        Conjunction noneCancelled = new Conjunction(jobIds.size(), result);
        for (String jobId : jobIds) {
            reader.read(
                    jobId,
                    job -> {
                        if (job == null || (job.status() != null && job.status().isCancelled())) {
                            noneCancelled.add(false);
                        } else {
                            checkNoneCancelled(job.dependencies(), noneCancelled::add);
                        }
                    });
        }
    }

    /** Reports whether all of several answers are true, once the last one is in. */
    private static final class Conjunction {
        private final Consumer<Boolean> result;
        private int remaining;
        private boolean allTrue = true;

        Conjunction(int answers, Consumer<Boolean> result) {
            this.result = result;
            remaining = answers;
        }

        void add(boolean answer) {
            allTrue &= answer;
            remaining--;
            if (remaining == 0) {
                result.accept(allTrue);
            }
        }
    }
}
