package org.woadloom.http;

import java.util.List;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.JobStatus;
import org.woadloom.reads.JobLookup;
import org.woadloom.reads.JobReader;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Cancels jobs by a compare-and-swap on their records. The leader writes the same records, so after
 * a conflict the record is read again and the write is retried.
 */
final class CancellationHandler {
    private static final int MAX_ATTEMPTS = 6;
    private static final Refusal NOT_CANCELLED =
            Refusal.unavailable("the job could not be cancelled in time");

    private final EventLoop loop;
    private final StoreClient store;
    private final JobApi.RecordPolicy recordPolicy;
    private final JobReader reader;
    private final StatusConfirmer confirmer;
    private final UserWrites writes;
    private final JobApi.JobChangeListener changeListener;
    private final RequestCoalescer<String, JobAnswer> cancellations = new RequestCoalescer<>();

    CancellationHandler(
            EventLoop loop,
            StoreClient store,
            JobApi.RecordPolicy recordPolicy,
            JobReader reader,
            StatusConfirmer confirmer,
            UserWrites writes,
            JobApi.JobChangeListener changeListener) {
        this.loop = loop;
        this.store = store;
        this.recordPolicy = recordPolicy;
        this.reader = reader;
        this.confirmer = confirmer;
        this.writes = writes;
        this.changeListener = changeListener;
    }

    void cancel(String jobId, Consumer<JobAnswer> answer) {
        if (!JobDescription.isJobId(jobId)) {
            answer.accept(Refusal.unknownJob());
            return;
        }
        long deadlineMicros = loop.nowMicros() + JobApi.ANSWER_TIMEOUT_MICROS;
        cancellations.coalesce(
                jobId,
                loop.nowMicros(),
                deadlineMicros,
                answer,
                shared -> answerCoalesced(jobId, shared, deadlineMicros, answer),
                result -> new Cancellation(jobId, deadlineMicros, result).start());
    }

    /**
     * The answer that a job has ended stays valid. The answer that it is unknown may be outdated,
     * since the job may have been submitted after the shared read.
     */
    private void answerCoalesced(
            String jobId, JobAnswer shared, long deadlineMicros, Consumer<JobAnswer> answer) {
        if (shared instanceof Refusal refusal && !refusal.isTemporary()) {
            new Cancellation(jobId, deadlineMicros, answer).start();
        } else {
            answer.accept(shared);
        }
    }

    /** One cancellation request, until it is answered. */
    private final class Cancellation {
        private final String jobId;
        private final long deadlineMicros;
        private final Consumer<JobAnswer> answer;
        private int attemptsLeft = MAX_ATTEMPTS;

        Cancellation(String jobId, long deadlineMicros, Consumer<JobAnswer> answer) {
            this.jobId = jobId;
            this.deadlineMicros = deadlineMicros;
            this.answer = answer;
        }

        void start() {
            reader.lookUp(jobId, deadlineMicros, this::attempt);
        }

        private void attempt(JobLookup lookup) {
            if (lookup == null) {
                answer.accept(NOT_CANCELLED);
            } else if (lookup.status() == null) {
                answer.accept(Refusal.unknownJob());
            } else if (lookup.unreadableStatus() != null) {
                replaceDamagedRecord(lookup);
            } else if (hasEnded(lookup)) {
                answerEnded(lookup.status().status());
            } else if (attemptsLeft == 0) {
                answer.accept(NOT_CANCELLED);
            } else {
                writeCancellation(lookup);
            }
        }

        private static boolean hasEnded(JobLookup lookup) {
            return lookup.finalState() != null
                    || lookup.record().cancelled()
                    || lookup.record().isComplete();
        }

        private void writeCancellation(JobLookup lookup) {
            JobRecord cancelled = lookup.record().withCancellation();
            RecordFormat format =
                    lookup.format() == RecordFormat.COMPACT
                            ? RecordFormat.COMPACT
                            : recordPolicy.writeFormat();
            writes.write(
                    new UserWrites.JobWrite(
                            RequestPriority.CANCELLATION,
                            deadlineMicros,
                            jobId,
                            List.of(new Condition(StoreKeys.job(jobId), lookup.revision())),
                            Change.put(StoreKeys.job(jobId), cancelled.toMap(format))),
                    reader::lookUp,
                    // Another revision means that the write was applied or that its condition can
                    // no longer hold.
                    found -> found.status() != null && found.revision() != lookup.revision(),
                    (result, storeRevision, found) ->
                            onWritten(cancelled, result, storeRevision, found));
        }

        private void onWritten(
                JobRecord cancelled, Result result, long storeRevision, JobLookup found) {
            if (result == Result.OK) {
                changeListener.onJobChanged(cancelled, storeRevision);
                answerEnded(JobStatus.CANCELLED);
            } else if (found != null) {
                if (found.record() != null && found.record().cancelled()) {
                    changeListener.onJobChanged(found.record(), found.revision());
                }
                attemptsLeft--;
                attempt(found);
            } else if (result == Result.CONFLICT) {
                attemptsLeft--;
                start();
            } else {
                answer.accept(NOT_CANCELLED);
            }
        }

        /**
         * Replaces a record that can't be decoded by a final state, as nothing of it can be carried
         * over.
         */
        private void replaceDamagedRecord(JobLookup lookup) {
            if (lookup.unreadableStatus().isCancelled()) {
                answerEnded(JobStatus.CANCELLED);
                return;
            }
            FinalRecord finalState = new FinalRecord(jobId, true, 0, loop.wallMicros(), false);
            store.txn(
                    RequestPriority.CANCELLATION,
                    deadlineMicros,
                    List.of(new Condition(StoreKeys.job(jobId), lookup.revision())),
                    List.of(
                            Change.put(
                                    StoreKeys.finalState(jobId),
                                    finalState.toMap(recordPolicy.writeFormat())),
                            Change.delete(StoreKeys.job(jobId))),
                    (result, storeRevision, failed) -> {
                        if (result == Result.OK) {
                            answerEnded(JobStatus.CANCELLED);
                        } else {
                            answer.accept(NOT_CANCELLED);
                        }
                    });
        }

        private void answerEnded(String status) {
            JobStatus ended = JobStatus.withoutCounts(jobId, status);
            confirmer.answer(ended, deadlineMicros - loop.nowMicros(), answer);
        }
    }
}
