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
 * Writes that a user waits for. Where the store's answer is late the job is read back, and its user
 * is answered if that shows that the write was carried out, or that it never can be. That the write
 * can't be seen proves nothing: it may still be carried out.
 */
final class UserWrites {
    /** Most answers take less than 10 ms, and now and then a few hundred. */
    private static final long FIRST_READ_BACK_MICROS = 400_000;

    private static final long SECOND_READ_BACK_MICROS = 1_200_000;
    private static final int MAX_READ_BACKS = 2;

    /** A request that was sent is answered within this time, but for rare cases. */
    private static final long STORE_ANSWER_MICROS = 800_000;

    /** The share of the service's store requests that the read-backs of all nodes may take. */
    private static final double READ_BACK_SHARE = 0.1;

    /**
     * One write of a job's record.
     *
     * @param deadlineMicros until when its user waits. Shortly before it the request is not sent
     *     any more, and then nothing is known of it
     */
    record JobWrite(
            RequestPriority priority,
            long deadlineMicros,
            String jobId,
            List<Condition> conditions,
            Change change) {}

    /** How the job is read back. */
    interface ReadBack {
        void read(RequestPriority priority, String jobId, Consumer<JobLookup> consumer);
    }

    /** Is called once with what became of a write: its own answer, or what was read back. */
    interface Outcome {
        /**
         * Takes the outcome.
         *
         * @param found what was read back, which decides; null where the write was answered, or
         *     nothing is known
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
     * @param isDecisive whether what was read back, which is not null, makes the write's own answer
     *     needless
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

        /** The store client gave up on the write, and can't say whether it was carried out. */
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
