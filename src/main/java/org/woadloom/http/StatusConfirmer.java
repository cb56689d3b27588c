package org.woadloom.http;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.CoalescingJobReader.JobView;
import org.woadloom.reads.QueryRefusal;

/**
 * Decides whether a status that was read may be reported to a user yet. A cancellation is reported
 * only once it is confirmed. A job is not reported as queued once one of its dependencies is
 * cancelled: the leader has to cancel the job too, and may not have written that yet if there was
 * no leader or it was cut off from the store.
 */
final class StatusConfirmer {
    private final CoalescingJobReader reader;
    private final JobApi.CancellationConfirmation confirmation;

    StatusConfirmer(CoalescingJobReader reader, JobApi.CancellationConfirmation confirmation) {
        this.reader = reader;
        this.confirmation = confirmation;
    }

    /**
     * Calls back with empty if the status may be reported, else with the reason why not.
     *
     * @param timeoutMicros how long the user still waits
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
     * Calls back with true if, according to the store, none of these jobs and of their transitive
     * dependencies is cancelled; with false also if a job can't be read.
     */
    private void checkNoneCancelled(List<String> jobIds, Consumer<Boolean> result) {
        if (jobIds.isEmpty()) {
            result.accept(true);
            return;
        }
        AllTrue noneCancelled = new AllTrue(jobIds.size(), result);
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

    /** Combines several asynchronous answers by AND; calls back once the last one has arrived. */
    private static final class AllTrue {
        private final Consumer<Boolean> result;
        private int remaining;
        private boolean allTrue = true;

        AllTrue(int answers, Consumer<Boolean> result) {
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
