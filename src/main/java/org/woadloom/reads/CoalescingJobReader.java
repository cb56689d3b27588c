package org.woadloom.reads;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.invariant.Invariants;
import org.woadloom.invariant.Invariants.Invariant;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.JobStatus;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Event;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Answers users who poll, from reads that they share. One <em>round</em>, a request for all that
 * has changed since the last one, serves everybody who asked before it was sent, however many jobs
 * they ask for. So each answer rests on a read that started after its query came, as if each had
 * been read by itself, and nobody is told anything older than what any node told before.
 *
 * <p>A round that takes long would hold up everybody, so another one is started after a while, and
 * the first answer counts.
 *
 * <p>Jobs that were asked for lately are kept ({@link RecentJobs}). After a gap between rounds all
 * of them are dropped, as the changes that were missed may be many, and all open jobs are read page
 * by page ({@link RecentJobsRefill}).
 */
public final class CoalescingJobReader {
    private static final Logger LOG = LoggerFactory.getLogger(CoalescingJobReader.class);

    /** The share of the service's store requests that the rounds of all nodes together may take. */
    private static final double REQUEST_SHARE = 0.1;

    private static final long MIN_PAUSE_MICROS = 100_000;

    /**
     * So many changes are read at most after a gap, as all of them come in one answer and are on
     * the heap together. It bounds how long a gap may be, and not how many jobs there are.
     */
    private static final double MAX_CHANGES = 1_500;

    private static final long MIN_GAP_MICROS = 3_000_000;
    private static final long SLOW_ROUND_MICROS = 400_000;
    private static final int MAX_ROUNDS_IN_FLIGHT = 4;

    /**
     * Users who poll wait 2 s: what would be read by key only after this comes too late for them.
     */
    private static final long QUERY_TIMEOUT_MICROS = 1_800_000;

    /** In place of a revision while nothing that is kept is known to be true. */
    private static final long NO_REVISION = -1;

    /** Earlier than any moment of the loop's clock, without overflow in differences. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /**
     * What a user is told of a job.
     *
     * @param status null for a job that was never accepted
     * @param dependencies the jobs that it waits for
     */
    public record JobView(JobStatus status, List<String> dependencies) {
        public static JobView of(JobLookup lookup) {
            boolean waits = lookup.record() != null && !lookup.record().cancelled();
            return new JobView(
                    lookup.status(),
                    waits ? lookup.record().description().dependencies() : List.of());
        }
    }

    /**
     * One query.
     *
     * @param priority of the read by key that it may need
     */
    private record Query(
            long number,
            long askedMicros,
            String jobId,
            RequestPriority priority,
            Consumer<QueryResult> answer) {}

    /**
     * One round.
     *
     * @param lastQuery the number of the last query that it answers
     */
    private record Round(long lastQuery, long startMicros) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final JobReader reader;
    private final RecentJobs recentJobs;
    private final long pauseMicros;
    private final long maxGapMicros;

    /** The queries that are not answered, in the order of their numbers. */
    private final ArrayDeque<Query> queries = new ArrayDeque<>();

    private long lastQuery;

    /** The last query when a round last started: a round is in flight for all up to it. */
    private long lastCoveredQuery;

    private long lastRoundMicros = NEVER_MICROS;
    private int roundsInFlight;

    /** The next attempt to start a round; null while there is none. */
    private EventLoop.Timer timer;

    private long timerMicros;

    /**
     * Changes with each gap: the changes that a round of an earlier generation reads leave out what
     * was dropped since.
     */
    private long generation;

    /** The store's revision as of which everything kept is true. */
    private long revision = NO_REVISION;

    /** When the round started that gave the revision. */
    private long revisionMicros;

    /**
     * @param limits what the store accepts from all nodes
     * @param nodes how many nodes there are
     */
    public CoalescingJobReader(
            EventLoop loop,
            StoreClient store,
            JobReader reader,
            ServiceSettings.Store limits,
            int nodes) {
        this.loop = loop;
        this.store = store;
        this.reader = reader;
        recentJobs = new RecentJobs(loop, store, reader);
        pauseMicros =
                Math.max(MIN_PAUSE_MICROS, (long) (nodes / (limits.rps() * REQUEST_SHARE) * 1e6));
        maxGapMicros = Math.max(MIN_GAP_MICROS, (long) (MAX_CHANGES / limits.writeRps() * 1e6));
    }

    /** Asks for a job; the answer is null if the store does not say. */
    public void read(String jobId, Consumer<JobView> answer) {
        query(RequestPriority.NORMAL, jobId, result -> answer.accept(result.viewOrNull()));
    }

    /**
     * Asks for a job, and for the reason if there is no answer.
     *
     * @param priority of a read by key, if the job has to be read by itself
     */
    public void query(RequestPriority priority, String jobId, Consumer<QueryResult> answer) {
        JobLookup finalState = reader.knownFinalState(jobId);
        if (finalState != null) {
            answer.accept(new QueryResult.Answered(JobView.of(finalState)));
            return;
        }
        lastQuery++;
        queries.add(new Query(lastQuery, loop.nowMicros(), jobId, priority, answer));
        scheduleRound();
    }

    private void scheduleRound() {
        long now = loop.nowMicros();
        long nextMicros = nextRoundMicros(now);
        if (queries.isEmpty() || (timer != null && timerMicros <= nextMicros)) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        timerMicros = nextMicros;
        timer =
                loop.schedule(
                        Math.max(1, nextMicros - now),
                        () -> {
                            timer = null;
                            startRound();
                            scheduleRound();
                        });
    }

    private long nextRoundMicros(long now) {
        if (roundsInFlight >= MAX_ROUNDS_IN_FLIGHT) {
            return now + pauseMicros;
        }
        return lastRoundMicros + (hasUncoveredQueries() ? pauseMicros : SLOW_ROUND_MICROS);
    }

    private boolean hasUncoveredQueries() {
        return lastQuery > lastCoveredQuery;
    }

    /** Starts a round if there are queries that none is for, or if the last one takes long. */
    private void startRound() {
        long now = loop.nowMicros();
        boolean slow = now - lastRoundMicros >= SLOW_ROUND_MICROS;
        if (queries.isEmpty()
                || roundsInFlight >= MAX_ROUNDS_IN_FLIGHT
                || (!hasUncoveredQueries() && !slow)) {
            return;
        }
        lastRoundMicros = now;
        lastCoveredQuery = lastQuery;
        roundsInFlight++;
        Round round = new Round(lastQuery, now);
        if (revision == NO_REVISION || now - revisionMicros > maxGapMicros) {
            restart(round);
        } else if (store.isRefusing()) {
            checkStore(round, () -> readChanges(round), () -> roundsInFlight--);
        } else {
            readChanges(round);
            if (roundsInFlight > 1) {
                checkStore(round, () -> {}, () -> {});
            }
        }
    }

    /**
     * Lets users fail fast in an outage: a read of changes hangs then, a plain read does not.
     *
     * @param onServed is run if the store answers
     * @param onRefused is run if it does not, before the queries of the round are refused
     */
    private void checkStore(Round round, Runnable onServed, Runnable onRefused) {
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
        if (revision == NO_REVISION) {
            // Another round found out that changes were missed while this one waited to start.
            restart(round);
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
            // Where the answer to a later round came first, the changes that this one leaves out
            // will not be read again.
            Set<String> queried = storeRevision >= revision ? queriedJobs(round) : Set.of();
            changes.forEach(change -> recentJobs.onChange(change, queried));
            advance(storeRevision, round);
            answerQueries(round);
        } else if (result == Result.NOT_FOUND) {
            // The store keeps changes for a while only.
            roundsInFlight++;
            restart(new Round(lastQuery, loop.nowMicros()));
        } else {
            refuseQueries(round);
        }
    }

    /** Drops what is kept, as changes were missed, and reads the store's revision anew. */
    private void restart(Round round) {
        if (revision != NO_REVISION) {
            LOG.info(
                    "event=status_cache_dropped revision={} age_ms={}",
                    revision,
                    (loop.nowMicros() - revisionMicros) / 1_000);
            recentJobs.clear();
            revision = NO_REVISION;
            generation++;
        }
        long startGeneration = generation;
        // The answer for a key that does not exist carries the store's revision.
        store.get(
                RequestPriority.SHARED_READ,
                StoreKeys.NEVER_WRITTEN,
                (result, entry, storeRevision) -> {
                    roundsInFlight--;
                    if (startGeneration != generation || revision != NO_REVISION) {
                        // Another answer came first, and what happened between the two must still
                        // be read.
                        return;
                    }
                    if (result == Result.NOT_FOUND) {
                        advance(storeRevision, round);
                        recentJobs.refill();
                        answerQueries(round);
                    } else {
                        refuseQueries(round);
                    }
                });
    }

    private void advance(long storeRevision, Round round) {
        revision = Math.max(revision, storeRevision);
        revisionMicros = Math.max(revisionMicros, round.startMicros);
    }

    private Set<String> queriedJobs(Round round) {
        Set<String> jobIds = new HashSet<>();
        for (Query query : queries) {
            if (query.number > round.lastQuery) {
                break;
            }
            jobIds.add(query.jobId);
        }
        return jobIds;
    }

    private void answerQueries(Round round) {
        completeQueries(round, query -> answer(round, query));
    }

    private void answer(Round round, Query query) {
        boolean isFresh =
                Invariants.holds(
                        query.askedMicros <= round.startMicros,
                        Invariant.ANSWER_READ_AFTER_QUESTION,
                        query.jobId);
        if (!isFresh) {
            query.answer.accept(new QueryResult.Refused(QueryRefusal.STORE_UNAVAILABLE));
            return;
        }
        recentJobs.read(
                query.priority,
                query.jobId,
                query.askedMicros + QUERY_TIMEOUT_MICROS,
                query.answer);
    }

    private void refuseQueries(Round round) {
        QueryResult refused = new QueryResult.Refused(QueryRefusal.STORE_UNAVAILABLE);
        completeQueries(round, query -> query.answer.accept(refused));
    }

    private void completeQueries(Round round, Consumer<Query> completion) {
        while (!queries.isEmpty() && queries.peekFirst().number <= round.lastQuery) {
            completion.accept(queries.pollFirst());
        }
    }
}
