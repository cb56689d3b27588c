package org.woadloom.http;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.woadloom.net.EventLoop;
import org.woadloom.reads.JobLookup;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.TokenBucket;

/**
 * Writes job records for users who wait for the result. If the store's answer is late, the job is
 * read back, and the user is answered if the read shows that the write was applied or can no longer
 * be applied. A read that does not show the write is inconclusive, as the write may still be
 * applied later.
 */
final class UserWrites {
    /**
     * Time without an answer of the store after which the job is first read back. Most answers take
     * less than 10 ms, a few take some hundred milliseconds.
     */
    private static final long FIRST_READ_BACK_MICROS = 400_000;

    private static final long SECOND_READ_BACK_MICROS = 1_200_000;
    private static final int MAX_READ_BACKS = 2;

    /** The store answers nearly every request that was sent within this time. */
    private static final long STORE_ANSWER_MICROS = 800_000;

    /** The share of the cluster's store request rate that the read-backs of all nodes may use. */
    private static final double READ_BACK_SHARE = 0.1;

    /**
     * A write of one job's record.
     *
     * @param deadlineMicros until when the user waits. From {@link #STORE_ANSWER_MICROS} before it
     *     the request is no longer sent, as its answer would come too late
     */
    record JobWrite(
            RequestPriority priority,
            long deadlineMicros,
            String jobId,
            List<Condition> conditions,
            Change change) {}

    /** Reads the job back from the store. */
    interface ReadBack {
        void read(RequestPriority priority, String jobId, Consumer<JobLookup> consumer);
    }

    /** Is called exactly once with the outcome of a write. */
    interface Outcome {
        /**
         * Called when the outcome of the write is known or its deadline has passed.
         *
         * @param result the store's answer; {@link Result#UNKNOWN} if it is unknown or {@code
         *     found} decides
         * @param found the job as read back, if that decided the outcome; null if the store
         *     answered or the outcome is unknown
         */
        void onCompleted(Result result, long storeRevision, JobLookup found);
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final TokenBucket readBackBudget;

    UserWrites(EventLoop loop, StoreClient store, double requestsPerSecond, int nodes) {
        this.loop = loop;
        this.store = store;
        readBackBudget = new TokenBucket(requestsPerSecond * READ_BACK_SHARE / nodes);
    }

    /**
     * @param isDecisive whether the job as read back, never null, decides the outcome of the write
     */
    void write(
            JobWrite request, ReadBack readBack, Predicate<JobLookup> isDecisive, Outcome outcome) {
        PendingWrite write = new PendingWrite(request.jobId, readBack, isDecisive, outcome);
        loop.schedule(FIRST_READ_BACK_MICROS, write::startReadBack);
        loop.schedule(SECOND_READ_BACK_MICROS, write::startReadBack);
        loop.schedule(
                Math.max(1, request.deadlineMicros - loop.nowMicros()), write::completeUnknown);
        store.txn(
                request.priority,
                request.deadlineMicros - STORE_ANSWER_MICROS,
                request.conditions,
                List.of(request.change),
                (result, storeRevision, failed) -> write.onAnswered(result, storeRevision));
    }

    private final class PendingWrite {
        private final String jobId;
        private final ReadBack readBack;
        private final Predicate<JobLookup> isDecisive;
        private final Outcome outcome;
        private boolean completed;
        private boolean readingBack;
        private int readBacks;

        /** The store client gave up on the write without knowing whether it was applied. */
        private boolean resultUnknown;

        PendingWrite(
                String jobId, ReadBack readBack, Predicate<JobLookup> isDecisive, Outcome outcome) {
            this.jobId = jobId;
            this.readBack = readBack;
            this.isDecisive = isDecisive;
            this.outcome = outcome;
        }

        void onAnswered(Result result, long storeRevision) {
            if (result != Result.UNKNOWN) {
                complete(result, storeRevision, null);
                return;
            }
            resultUnknown = true;
            startReadBack();
            if (!readingBack) {
                completeUnknown();
            }
        }

        void startReadBack() {
            long now = loop.nowMicros();
            if (completed
                    || readingBack
                    || readBacks == MAX_READ_BACKS
                    || readBackBudget.waitMicros(now, 1) > 0) {
                return;
            }
            readBackBudget.take(now, 1);
            readBacks++;
            readingBack = true;
            readBack.read(RequestPriority.USER, jobId, this::onReadBack);
        }

        private void onReadBack(JobLookup found) {
            readingBack = false;
            if (found != null && isDecisive.test(found)) {
                complete(Result.UNKNOWN, 0, found);
            } else if (resultUnknown) {
                completeUnknown();
            }
        }

        void completeUnknown() {
            complete(Result.UNKNOWN, 0, null);
        }

        private void complete(Result result, long storeRevision, JobLookup found) {
            if (!completed) {
                completed = true;
                outcome.onCompleted(result, storeRevision, found);
            }
        }
    }
}
