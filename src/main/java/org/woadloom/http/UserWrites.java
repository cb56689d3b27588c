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
 * Writes that a user waits for. Where the answer is late the job is read, and its user is told if
 * that shows that the write was carried out, or that it never can be. That it is not there proves
 * nothing: it may be carried out still.
 */
final class UserWrites {
    /** Most answers take less than 10 ms, and now and then a few hundred. */
    private static final long FIRST_LOOK_MICROS = 400_000;

    private static final long SECOND_LOOK_MICROS = 1_200_000;

    /** What is sent takes so long to be answered, but for rare cases. */
    private static final long ANSWER_MICROS = 800_000;

    private static final int MAX_READS = 2;

    /** The part of the service's requests that these reads of all nodes together may take. */
    private static final double READ_SHARE = 0.1;

    /** Hears once what became of a write: its own answer, or what was read instead of it. */
    interface Outcome {
        /**
         * @param found what was read, which decides; null where the write was answered, or nothing
         *     is known
         */
        void done(Result result, long storeRevision, JobLookup found);
    }

    /** How the job is read. */
    interface Look {
        void look(RequestPriority urgency, String jobId, Consumer<JobLookup> consumer);
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final TokenBucket readBudget;

    UserWrites(EventLoop loop, StoreClient store, double requestsPerSecond, int nodes) {
        this.loop = loop;
        this.store = store;
        readBudget = new TokenBucket(requestsPerSecond * READ_SHARE / nodes);
    }

    /**
     * @param answerByMicros until when its user waits: shortly before it is not sent any more, and
     *     then nothing is known
     * @param decides whether what was read, which is not null, makes the write's own answer
     *     needless
     */
    void write(
            RequestPriority urgency,
            long answerByMicros,
            String jobId,
            List<Condition> conditions,
            Change change,
            Look look,
            Predicate<JobLookup> decides,
            Outcome outcome) {
        Write write = new Write(jobId, look, decides, outcome);
        loop.schedule(FIRST_LOOK_MICROS, write::look);
        loop.schedule(SECOND_LOOK_MICROS, write::look);
        loop.schedule(
                Math.max(1, answerByMicros - loop.nowMicros()),
                () -> write.tell(Result.UNKNOWN, 0, null));
        store.txn(
                urgency,
                answerByMicros - ANSWER_MICROS,
                conditions,
                List.of(change),
                (result, storeRevision, failed) -> write.answered(result, storeRevision));
    }

    private final class Write {
        final String jobId;
        final Look look;
        final Predicate<JobLookup> decides;
        final Outcome outcome;
        boolean told;
        boolean reading;
        int looked;

        /** The write's answer was that there is none. */
        boolean unknown;

        Write(String jobId, Look look, Predicate<JobLookup> decides, Outcome outcome) {
            this.jobId = jobId;
            this.look = look;
            this.decides = decides;
            this.outcome = outcome;
        }

        void answered(Result result, long storeRevision) {
            if (result != Result.UNKNOWN) {
                tell(result, storeRevision, null);
                return;
            }
            unknown = true;
            look();
            if (!reading) {
                tell(Result.UNKNOWN, 0, null);
            }
        }

        void look() {
            long now = loop.nowMicros();
            if (told || reading || looked == MAX_READS || readBudget.waitMicros(now, 1) > 0) {
                return;
            }
            readBudget.take(now, 1);
            looked++;
            reading = true;
            look.look(
                    RequestPriority.USER,
                    jobId,
                    found -> {
                        reading = false;
                        if (found != null && decides.test(found)) {
                            tell(Result.UNKNOWN, 0, found);
                        } else if (unknown) {
                            tell(Result.UNKNOWN, 0, null);
                        }
                    });
        }

        private void tell(Result result, long storeRevision, JobLookup found) {
            if (!told) {
                told = true;
                outcome.done(result, storeRevision, found);
            }
        }
    }
}
