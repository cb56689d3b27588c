package org.woadloom.reads;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.net.EventLoop;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Reads the final states of jobs on behalf of queries. A few are read by key. When many are wanted
 * at once, as after a restart, they are read by pages of neighboring keys, so the number of
 * requests does not grow with the number of jobs. One page is read at a time, continuing after the
 * previous one in key order and skipping keys that no query waits for.
 */
final class FinalStateReader {
    private static final Logger LOG = LoggerFactory.getLogger(FinalStateReader.class);

    /** For fewer keys, a page would mostly return final states that nobody waits for. */
    private static final int MIN_KEYS_PER_PAGE = 16;

    private static final long RETRY_MICROS = 200_000;
    private static final long LOG_INTERVAL_MICROS = 10_000_000;

    /**
     * A query for a final state.
     *
     * @param priority priority of the read by key
     * @param pagesBefore number of pages that were requested before the query
     * @param consumer receives the final state, {@link JobLookup#UNKNOWN} if there is none, or null
     *     without an answer
     */
    private record FinalStateQuery(
            String jobId,
            RequestPriority priority,
            long deadlineMicros,
            long pagesBefore,
            Consumer<JobLookup> consumer)
            implements WaitingQueries.Query {
        @Override
        public void expire() {
            consumer.accept(null);
        }
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final JobReader reader;
    private final WaitingQueries<FinalStateQuery> waitingQueries;

    /** Last key of the previous page, null at the start of the key range. */
    private String lastKey;

    private long pagesRequested;
    private boolean isPagePending;
    private boolean isStartScheduled;

    // Pages since the latest log line.
    private int loggedPages;
    private int loggedAnswers;
    private boolean isLogScheduled;

    FinalStateReader(EventLoop loop, StoreClient store, JobReader reader) {
        this.loop = loop;
        this.store = store;
        this.reader = reader;
        waitingQueries = new WaitingQueries<>(loop);
    }

    /**
     * Reads a final state. The result is {@link JobLookup#UNKNOWN} if a read that started after
     * this call found none, and null if there was no answer by the deadline.
     *
     * @param priority priority of the read if it is read by key
     */
    void read(
            RequestPriority priority,
            String jobId,
            long deadlineMicros,
            Consumer<JobLookup> consumer) {
        awaitRead(new FinalStateQuery(jobId, priority, deadlineMicros, pagesRequested, consumer));
        // All queries that one round answers are collected first.
        scheduleStart(0);
    }

    private void awaitRead(FinalStateQuery query) {
        waitingQueries.add(StoreKeys.finalState(query.jobId), query);
    }

    private void scheduleStart(long delayMicros) {
        if (isPagePending || isStartScheduled) {
            return;
        }
        isStartScheduled = true;
        Runnable start =
                () -> {
                    isStartScheduled = false;
                    start();
                };
        if (delayMicros == 0) {
            loop.execute(start);
        } else {
            loop.schedule(delayMicros, start);
        }
    }

    private void start() {
        if (waitingQueries.keyCount() >= MIN_KEYS_PER_PAGE) {
            readPage();
        } else {
            waitingQueries.removeAll().forEach(this::readByKey);
        }
    }

    private void readByKey(FinalStateQuery query) {
        reader.lookUpFinalState(query.priority, query.jobId, query.deadlineMicros, query.consumer);
    }

    private void readPage() {
        String after = startOfNextPage();
        isPagePending = true;
        pagesRequested++;
        store.page(
                RequestPriority.SHARED_READ,
                StoreKeys.FINAL_STATE_PREFIX,
                after,
                (result, entries, hasMore) -> {
                    isPagePending = false;
                    if (result == Result.OK) {
                        onPage(after, entries, hasMore && !entries.isEmpty());
                        scheduleStart(0);
                    } else {
                        scheduleStart(RETRY_MICROS);
                    }
                });
    }

    private String startOfNextPage() {
        String key = lastKey == null ? null : waitingQueries.firstKeyAfter(lastKey);
        if (key == null) {
            lastKey = null;
            key = waitingQueries.firstKey();
        }
        // Sorts before the key itself, with few other keys in between.
        String before = key.substring(0, key.length() - 1);
        return lastKey != null && lastKey.compareTo(before) > 0 ? lastKey : before;
    }

    private void onPage(String after, List<Entry> entries, boolean hasMore) {
        Map<String, JobLookup> finalStates = new HashMap<>();
        for (Entry entry : entries) {
            String jobId = entry.key().substring(StoreKeys.FINAL_STATE_PREFIX.length());
            finalStates.put(jobId, reader.parseFinalState(jobId, entry.value()));
        }
        lastKey = hasMore ? entries.get(entries.size() - 1).key() : null;
        List<FinalStateQuery> covered =
                hasMore
                        ? waitingQueries.removeBetween(after, lastKey)
                        : waitingQueries.removeAfter(after);
        covered.forEach(query -> answer(query, finalStates));
        logLater(covered.size());
    }

    private void answer(FinalStateQuery query, Map<String, JobLookup> finalStates) {
        boolean isFound = finalStates.containsKey(query.jobId);
        if (!isFound && query.pagesBefore == pagesRequested) {
            // The job may have ended since the page was requested.
            awaitRead(query);
        } else {
            query.consumer.accept(isFound ? finalStates.get(query.jobId) : JobLookup.UNKNOWN);
        }
    }

    private void logLater(int answers) {
        loggedPages++;
        loggedAnswers += answers;
        if (isLogScheduled) {
            return;
        }
        isLogScheduled = true;
        loop.schedule(
                LOG_INTERVAL_MICROS,
                () -> {
                    isLogScheduled = false;
                    LOG.info(
                            "event=final_states_read pages={} answers={} waiting_jobs={}",
                            loggedPages,
                            loggedAnswers,
                            waitingQueries.keyCount());
                    loggedPages = 0;
                    loggedAnswers = 0;
                });
    }
}
