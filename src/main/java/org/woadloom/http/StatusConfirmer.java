package org.woadloom.http;

import java.util.Optional;
import java.util.function.Consumer;
import org.woadloom.protocol.JobStatus;
import org.woadloom.reads.QueryRefusal;

/**
 * Decides whether a status that was read may be reported to a user yet: a cancellation is reported
 * only once it is confirmed.
 */
final class StatusConfirmer {
    private final JobApi.CancellationConfirmation confirmation;

    StatusConfirmer(JobApi.CancellationConfirmation confirmation) {
        this.confirmation = confirmation;
    }

    /**
     * Calls back with empty if the status may be reported, else with the reason why not.
     *
     * @param timeoutMicros how long the user still waits
     */
    void confirm(JobStatus status, long timeoutMicros, Consumer<Optional<QueryRefusal>> result) {
        if (!status.isCancelled()) {
            result.accept(Optional.empty());
            return;
        }
        confirmation.confirm(
                status.jobId(),
                timeoutMicros,
                confirmed ->
                        result.accept(
                                confirmed
                                        ? Optional.empty()
                                        : Optional.of(QueryRefusal.CANCELLATION_UNCONFIRMED)));
    }

    /** Answers with the status once it may be reported, else with a refusal. */
    void answer(JobStatus status, long timeoutMicros, Consumer<JobAnswer> answer) {
        confirm(
                status,
                timeoutMicros,
                reason ->
                        answer.accept(
                                reason.isPresent()
                                        ? Refusal.of(reason.get())
                                        : new JobAnswer.Found(status)));
    }
}
