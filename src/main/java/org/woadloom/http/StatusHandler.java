package org.woadloom.http;

import java.util.function.Consumer;
import org.woadloom.invariant.Invariants;
import org.woadloom.invariant.Invariants.Invariant;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.JobDescription;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.JobReader;
import org.woadloom.reads.JobView;
import org.woadloom.reads.QueryRefusal;
import org.woadloom.reads.QueryResult;
import org.woadloom.reads.UnansweredQueries;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.RequestPriority;

/** Answers users' polls for the status of a job. */
final class StatusHandler {
    /** Users wait 2 s for the answer to a poll. */
    private static final long CONFIRMATION_TIMEOUT_MICROS = 1_600_000;

    private final StoreClient store;
    private final JobReader reader;
    private final CoalescingJobReader sharedReader;
    private final StatusConfirmer confirmer;
    private final UnansweredQueries unanswered;

    StatusHandler(
            EventLoop loop,
            StoreClient store,
            JobReader reader,
            CoalescingJobReader sharedReader,
            StatusConfirmer confirmer) {
        this.store = store;
        this.reader = reader;
        this.sharedReader = sharedReader;
        this.confirmer = confirmer;
        unanswered = new UnansweredQueries(loop);
    }

    void status(String jobId, Consumer<JobAnswer> answer) {
        if (!JobDescription.isJobId(jobId)) {
            answer.accept(Refusal.unknownJob());
            return;
        }
        boolean wasAccepted = reader.isAcceptedService(jobId) != null;
        RequestPriority priority =
                unanswered.hasPriority(jobId) ? RequestPriority.USER : RequestPriority.NORMAL;
        sharedReader.query(
                priority,
                jobId,
                result -> {
                    if (result instanceof QueryResult.Refused refused) {
                        refuse(jobId, refused.reason(), answer);
                    } else {
                        onRead(jobId, wasAccepted, result.viewOrNull(), answer);
                    }
                });
    }

    private void onRead(
            String jobId, boolean wasAccepted, JobView job, Consumer<JobAnswer> answer) {
        if (job.status() == null) {
            if (!Invariants.holds(!wasAccepted, Invariant.ACCEPTED_JOB_KNOWN, jobId)) {
                refuse(jobId, QueryRefusal.STORE_UNAVAILABLE, answer);
                return;
            }
            unanswered.onAnswered(jobId);
            answer.accept(Refusal.unknownJob());
        } else {
            confirmer.confirm(
                    job.status(),
                    CONFIRMATION_TIMEOUT_MICROS,
                    reason -> {
                        if (reason.isPresent()) {
                            refuse(jobId, reason.get(), answer);
                        } else {
                            unanswered.onAnswered(jobId);
                            answer.accept(new JobAnswer.Found(job.status(), job.dependencies()));
                        }
                    });
        }
    }

    private void refuse(String jobId, QueryRefusal reason, Consumer<JobAnswer> answer) {
        unanswered.onRefused(jobId, reason, !store.isRefusing());
        answer.accept(Refusal.of(reason));
    }

    /** The number of polls refused for this reason since the process started. */
    long refusals(QueryRefusal reason) {
        return unanswered.refusalCount(reason);
    }

    /**
     * The longest time for which polls for one job have been refused while those for others were
     * answered.
     */
    long longestUnansweredMicros() {
        return unanswered.longestUnansweredMicros();
    }
}
