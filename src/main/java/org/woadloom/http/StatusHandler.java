package org.woadloom.http;

import java.util.function.Consumer;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.JobDescription;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.CoalescingJobReader.JobView;
import org.woadloom.reads.UnansweredQueries;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.RequestPriority;

/** Answers users who poll for a job's status. */
final class StatusHandler {
    /** Users who poll wait 2 s for an answer. */
    private static final long CONFIRMATION_TIMEOUT_MICROS = 1_600_000;

    private final StoreClient store;
    private final CoalescingJobReader sharedReader;
    private final StatusConfirmer confirmer;
    private final UnansweredQueries unanswered;

    StatusHandler(
            EventLoop loop,
            StoreClient store,
            CoalescingJobReader sharedReader,
            StatusConfirmer confirmer) {
        this.store = store;
        this.sharedReader = sharedReader;
        this.confirmer = confirmer;
        unanswered = new UnansweredQueries(loop);
    }

    void status(String jobId, Consumer<JobAnswer> answer) {
        if (!JobDescription.isJobId(jobId)) {
            answer.accept(Refusal.unknownJob());
            return;
        }
        RequestPriority priority =
                unanswered.hasPriority(jobId) ? RequestPriority.USER : RequestPriority.NORMAL;
        sharedReader.read(priority, jobId, job -> onRead(jobId, job, answer));
    }

    private void onRead(String jobId, JobView job, Consumer<JobAnswer> answer) {
        if (job == null) {
            refuse(jobId, Refusal.storeUnavailable(), answer);
        } else if (job.status() == null) {
            unanswered.onAnswered(jobId);
            answer.accept(Refusal.unknownJob());
        } else {
            confirmer.confirm(
                    job,
                    CONFIRMATION_TIMEOUT_MICROS,
                    refusal -> {
                        if (refusal.isPresent()) {
                            refuse(jobId, refusal.get(), answer);
                        } else {
                            unanswered.onAnswered(jobId);
                            answer.accept(new JobAnswer.Found(job.status(), job.dependencies()));
                        }
                    });
        }
    }

    private void refuse(String jobId, Refusal refusal, Consumer<JobAnswer> answer) {
        unanswered.onRefused(jobId, !store.isRefusing());
        answer.accept(refusal);
    }

    /** The longest time for which a job was polled for in vain while others were answered. */
    long longestUnansweredMicros() {
        return unanswered.longestMicros();
    }
}
