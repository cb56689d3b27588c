package org.woadloom.reads;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.invariant.Invariants;
import org.woadloom.invariant.Invariants.Invariant;
import org.woadloom.net.EventLoop;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Event;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Answers polling users from shared reads. A <em>round</em> is one request for all changes since
 * the previous round; it answers every query that arrived before it was sent, for any number of
 * jobs. Each answer is therefore based on a read that started after its query arrived, as if the
 * job had been read individually, and no node ever reports a state older than one that any node has
 * already reported.
 *
 * <p>A slow round would delay all queries, so after a while another one is started, and the first
 * answer counts.
 *
 * <p>Open jobs are cached ({@link RecentJobs}). After a gap between rounds the whole cache is
 * dropped, because many changes may have been missed, and all open jobs are read again page by page
 * ({@link RecentJobsRefill}).
 */
public final class CoalescingJobReader {
    private static final Logger LOG = LoggerFactory.getLogger(CoalescingJobReader.class);

    /**
     * Fraction of the service's store request rate that the rounds of all nodes together may use.
     */
    private static final double REQUEST_SHARE = 0.1;

    private static final long MIN_ROUND_INTERVAL_MICROS = 100_000;

    /**
     * Maximum number of changes read after a gap, because they arrive in a single answer and are on
     * the heap at once. This limits the length of a gap, not the number of jobs.
     */
    private static final double MAX_CHANGES_PER_READ = 1_500;

    private static final long MIN_GAP_MICROS = 3_000_000;
    private static final long SLOW_ROUND_MICROS = 400_000;
    private static final int MAX_ROUNDS_IN_FLIGHT = 4;

    /**
     * Polling users wait 2 s, so a read by key that has not been sent after this time is dropped.
     */
    private static final long QUERY_TIMEOUT_MICROS = 1_800_000;

    /** Revision while nothing in the cache is known to be current. */
    private static final long UNKNOWN_REVISION = -1;

    /** Earlier than any time of the loop's clock, but safe from overflow in subtractions. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /**
     * A query for a job.
     *
     * @param priority priority of the read by key that the query may need
     * @param checksDependencies whether the query is refused if a dependency is cancelled
     */
    private record Query(
            long number,
            long receivedMicros,
            String jobId,
            RequestPriority priority,
            boolean checksDependencies,
            Consumer<QueryResult> callback) {}

    /**
     * A round of reading changes.
     *
     * @param lastQueryNumber number of the last query that the round answers
     */
    private record Round(long lastQueryNumber, long startMicros) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final JobReader reader;
    private final RecentJobs recentJobs;
    private final long roundIntervalMicros;
    private final long maxGapMicros;

    /** Unanswered queries, ordered by number. */
    private final ArrayDeque<Query> queries = new ArrayDeque<>();

    private long lastQueryNumber;

    /**
     * Number of the latest query when the latest round started: every query up to it is covered by
     * a round.
     */
    private long lastCoveredQueryNumber;

    private long lastRoundMicros = NEVER_MICROS;
    private int roundsInFlight;

    /** Timer of the next attempt to start a round, or null. */
    private EventLoop.Timer roundTimer;

    private long roundTimerMicros;

    /**
     * Incremented at every gap. A round of an earlier generation does not contain the changes of
     * jobs that were dropped since it started.
     */
    private long generation;

    /** Store revision at which all cached jobs are current. */
    private long revision = UNKNOWN_REVISION;

    /** Start time of the round that returned the revision. */
    private long revisionMicros;

    /**
     * @param limits the store's limits, shared by all nodes
     * @param nodeCount number of nodes
     */
    public CoalescingJobReader(
            EventLoop loop,
            StoreClient store,
            JobReader reader,
            ServiceSettings.Store limits,
            int nodeCount) {
        this.loop = loop;
        this.store = store;
        this.reader = reader;
        recentJobs = new RecentJobs(loop, store, reader);
        roundIntervalMicros =
                Math.max(
                        MIN_ROUND_INTERVAL_MICROS,
                        (long) (nodeCount / (limits.rps() * REQUEST_SHARE) * 1e6));
        maxGapMicros =
                Math.max(MIN_GAP_MICROS, (long) (MAX_CHANGES_PER_READ / limits.writeRps() * 1e6));
    }

    /**
     * Reads a job, whatever the state of its dependencies. The answer is null if the store did not
     * provide one.
     */
    public void read(String jobId, Consumer<JobView> callback) {
        addQuery(
                RequestPriority.NORMAL,
                jobId,
                false,
                result -> callback.accept(result.viewOrNull()));
    }

    /**
     * Reads a job whose status is to be reported to a user. The result contains the reason if there
     * is no answer. A job is not reported as queued once one of its direct or transitive
     * dependencies is cancelled: the leader has to cancel the job too, and may not have written
     * that yet if there was no leader or it was cut off from the store.
     *
     * @param priority priority of the read by key, if the job has to be read individually
     */
    public void query(RequestPriority priority, String jobId, Consumer<QueryResult> callback) {
        addQuery(priority, jobId, true, callback);
    }

    private void addQuery(
            RequestPriority priority,
            String jobId,
            boolean checksDependencies,
            Consumer<QueryResult> callback) {
        JobLookup finalState = reader.cachedFinalState(jobId);
        if (finalState != null) {
            callback.accept(new QueryResult.Answered(JobView.of(finalState)));
            return;
        }
        lastQueryNumber++;
        queries.add(
                new Query(
                        lastQueryNumber,
                        loop.nowMicros(),
                        jobId,
                        priority,
                        checksDependencies,
                        callback));
        scheduleRound();
    }

    private void scheduleRound() {
        long now = loop.nowMicros();
        long nextMicros = nextRoundMicros(now);
        if (queries.isEmpty() || (roundTimer != null && roundTimerMicros <= nextMicros)) {
            return;
        }
        if (roundTimer != null) {
            roundTimer.cancel();
        }
        roundTimerMicros = nextMicros;
        roundTimer =
                loop.schedule(
                        Math.max(1, nextMicros - now),
                        () -> {
                            roundTimer = null;
                            startRound();
                            scheduleRound();
                        });
    }

    private long nextRoundMicros(long now) {
        if (roundsInFlight >= MAX_ROUNDS_IN_FLIGHT) {
            return now + roundIntervalMicros;
        }
        return lastRoundMicros + (hasUncoveredQueries() ? roundIntervalMicros : SLOW_ROUND_MICROS);
    }

    private boolean hasUncoveredQueries() {
        return lastQueryNumber > lastCoveredQueryNumber;
    }

    /** Starts a round if there are queries that no round covers, or if the latest round is slow. */
    private void startRound() {
        long now = loop.nowMicros();
        boolean isSlow = now - lastRoundMicros >= SLOW_ROUND_MICROS;
        if (queries.isEmpty()
                || roundsInFlight >= MAX_ROUNDS_IN_FLIGHT
                || (!hasUncoveredQueries() && !isSlow)) {
            return;
        }
        lastRoundMicros = now;
        lastCoveredQueryNumber = lastQueryNumber;
        roundsInFlight++;
        Round round = new Round(lastQueryNumber, now);
        if (revision == UNKNOWN_REVISION || now - revisionMicros > maxGapMicros) {
            restartAfterGap(round);
        } else if (store.isRefusing()) {
            probeStore(round, () -> readChanges(round), () -> roundsInFlight--);
        } else {
            readChanges(round);
            if (roundsInFlight > 1) {
                probeStore(round, () -> {}, () -> {});
            }
        }
    }

    /**
     * Makes queries fail fast in an outage, when the store leaves reads of changes unanswered but
     * refuses plain reads.
     *
     * @param onServed run if the store answers
     * @param onRefused run if it does not, before the queries of the round are refused
     */
    private void probeStore(Round round, Runnable onServed, Runnable onRefused) {
        store.get(
                RequestPriority.SHARED_READ,
                StoreKeys.NEVER_WRITTEN,
                (result, entry, storeRevision) -> {
                    if (result == Result.UNAVAILABLE) {
                        onRefused.run();
                        refuseQueries(round);
                    } else {
                        onServed.run();
                    }
                });
    }

    private void readChanges(Round round) {
        if (revision == UNKNOWN_REVISION) {
            // Another round has detected missed changes while this one was waiting to start.
            restartAfterGap(round);
            return;
        }
        long startGeneration = generation;
        store.readChanges(
                RequestPriority.SHARED_READ,
                StoreKeys.JOB_PREFIX,
                revision,
                (result, changes, storeRevision) -> {
                    roundsInFlight--;
                    if (startGeneration == generation) {
                        onChangesRead(round, result, changes, storeRevision);
                    }
                });
    }

    private void onChangesRead(
            Round round, Result result, List<Event> changes, long storeRevision) {
        if (result == Result.OK) {
            // If a later round was answered first, changes after this round's revision have already
            // been read and will not be read again.
            boolean isLatest = storeRevision >= revision;
            changes.forEach(change -> recentJobs.onChange(change, isLatest));
            advanceRevision(storeRevision, round);
            answerQueries(round);
        } else if (result == Result.NOT_FOUND) {
            // The store has compacted the changes.
            roundsInFlight++;
            restartAfterGap(new Round(lastQueryNumber, loop.nowMicros()));
        } else {
            refuseQueries(round);
        }
    }

    /** Drops the cache because changes were missed, and reads the current store revision. */
    private void restartAfterGap(Round round) {
        if (revision != UNKNOWN_REVISION) {
            LOG.info(
                    "event=status_cache_dropped revision={} age_ms={}",
                    revision,
                    (loop.nowMicros() - revisionMicros) / 1_000);
            recentJobs.clear();
            revision = UNKNOWN_REVISION;
            generation++;
        }
        long startGeneration = generation;
        // The answer for a missing key contains the store's revision.
        store.get(
                RequestPriority.SHARED_READ,
                StoreKeys.NEVER_WRITTEN,
                (result, entry, storeRevision) -> {
                    roundsInFlight--;
                    if (startGeneration != generation || revision != UNKNOWN_REVISION) {
                        // Another answer came first and its revision is in use. Advancing to this
                        // later revision would skip the changes between the two.
                        return;
                    }
                    if (result == Result.NOT_FOUND) {
                        advanceRevision(storeRevision, round);
                        recentJobs.refill();
                        answerQueries(round);
                    } else {
                        refuseQueries(round);
                    }
                });
    }

    private void advanceRevision(long storeRevision, Round round) {
        revision = Math.max(revision, storeRevision);
        revisionMicros = Math.max(revisionMicros, round.startMicros);
    }

    private void answerQueries(Round round) {
        long deadlineMicros = round.startMicros + QUERY_TIMEOUT_MICROS;
        DependencyCheck dependencies =
                new DependencyCheck(
                        (jobId, callback) ->
                                recentJobs.read(
                                        RequestPriority.NORMAL, jobId, deadlineMicros, callback));
        completeQueries(round, query -> answer(round, query, dependencies));
    }

    private void answer(Round round, Query query, DependencyCheck dependencies) {
        boolean isFresh =
                Invariants.holds(
                        query.receivedMicros <= round.startMicros,
                        Invariant.ANSWER_READ_AFTER_QUESTION,
                        query.jobId);
        if (!isFresh) {
            query.callback.accept(new QueryResult.Refused(QueryRefusal.STORE_UNAVAILABLE));
            return;
        }
        recentJobs.read(
                query.priority,
                query.jobId,
                query.receivedMicros + QUERY_TIMEOUT_MICROS,
                result -> onRead(query, result, dependencies));
    }

    private static void onRead(Query query, QueryResult result, DependencyCheck dependencies) {
        JobView view = result.viewOrNull();
        if (!query.checksDependencies || view == null || view.dependencies().isEmpty()) {
            query.callback.accept(result);
            return;
        }
        dependencies.check(
                view.dependencies(),
                refusal ->
                        query.callback.accept(
                                refusal.isPresent()
                                        ? new QueryResult.Refused(refusal.get())
                                        : result));
    }

    private void refuseQueries(Round round) {
        QueryResult refused = new QueryResult.Refused(QueryRefusal.STORE_UNAVAILABLE);
        completeQueries(round, query -> query.callback.accept(refused));
    }

    private void completeQueries(Round round, Consumer<Query> completion) {
        while (!queries.isEmpty() && queries.peekFirst().number <= round.lastQueryNumber) {
            completion.accept(queries.pollFirst());
        }
    }
}
