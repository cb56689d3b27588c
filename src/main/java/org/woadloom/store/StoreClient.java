package org.woadloom.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;

/**
 * The client of the store, a consensus-backed key-value store: reads, compare-and-swap transactions
 * on the revisions of keys, watches, and leases on which keys can be made to depend.
 *
 * <p>{@link StoreRequestQueue} decides when a request is sent, {@link StoreProtocol} has the form
 * of requests and answers, {@link StoreRequestPolicy} the time-outs and bounds. Nothing is retried
 * here: only the caller knows whether its request is still wanted. All callbacks run on the event
 * loop.
 */
public final class StoreClient {
    /** Stands for a request that may wait for its turn as long as it takes. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    /** How urgent a request is; {@link RateShare} says what each gets while others wait. */
    public enum RequestPriority {
        /**
         * Elections, renewals of the leader's lease and proofs of leadership: before everything
         * else.
         */
        CONTROL(null),
        /**
         * A user's cancellation, which goes before other users' requests: it frees what they wait
         * for.
         */
        CANCELLATION(RateShare.USERS),
        /**
         * A read that answers all users who wait on this node: before reads for a single one of
         * them.
         */
        SHARED_READ(RateShare.USERS),
        /** A user waits for it. */
        USER(RateShare.USERS),
        /** Work on machines waits for it. */
        URGENT(RateShare.URGENT),
        /** May be a little late, as the progress of jobs. */
        NORMAL(RateShare.NORMAL),
        /** Housekeeping. */
        BACKGROUND(RateShare.BACKGROUND);

        private final RateShare share;

        RequestPriority(RateShare share) {
            this.share = share;
        }

        /** The share that it is sent from; null for control requests, which need none. */
        RateShare share() {
            return share;
        }

        /** Whether it goes before others of its share. */
        boolean isPreferred() {
            return this == CANCELLATION || this == SHARED_READ;
        }
    }

    /** How a request ended. */
    public enum Result {
        /** Executed. */
        OK,
        /** The key or lease does not exist, or the changes asked for are not kept any more. */
        NOT_FOUND,
        /** A transaction's conditions did not hold; not executed. */
        CONFLICT,
        /** Refused as such, for a limit on sizes perhaps; not executed. */
        BAD,
        /** Not executed, as the store was not asked or would not serve; it may serve later. */
        UNAVAILABLE,
        /** No answer, or none that can be read: it may have been executed, or may be later. */
        UNKNOWN
    }

    /** One key with its value and the revision of its last change. */
    public record Entry(String key, Map<String, Object> value, long revision) {}

    /** A condition of a transaction: the key's revision, 0 where it must not exist. */
    public record Condition(String key, long revision) {}

    /** A change of a transaction: a put, or a deletion where the value is null. */
    public record Change(String key, Map<String, Object> value, long storeLease) {
        /** The lease of keys that stay until they are deleted. */
        static final long NO_LEASE = 0;

        /** Writes a key that depends on no lease. */
        public static Change put(String path, Map<String, Object> value) {
            return new Change(path, value, NO_LEASE);
        }

        /** Deletes a key. */
        public static Change delete(String path) {
            return new Change(path, null, NO_LEASE);
        }
    }

    /** An event of a watch; the value is null where the key was deleted. */
    public record Event(String key, Map<String, Object> value, long revision) {}

    /** Is told whether the store can be reached. */
    public interface HealthListener {
        /**
         * A request was answered, or timed out.
         *
         * @param isServing false for 503 or no answer
         */
        void onAnswer(boolean isServing);
    }

    /** Receives one key. */
    public interface EntryCallback {
        /**
         * The key was read.
         *
         * @param entry null unless the result is {@code OK}
         * @param storeRevision at which the key did not exist, for {@code NOT_FOUND}; otherwise 0
         */
        void onEntry(Result result, Entry entry, long storeRevision);
    }

    /** Receives all keys with a prefix. */
    public interface ListCallback {
        /**
         * All pages were read, or one could not be.
         *
         * @param storeRevision of the first page: changes after it are to be read by a watch
         */
        void onEntries(Result result, List<Entry> entries, long storeRevision);
    }

    /** Receives one page of the keys with a prefix. */
    public interface PageCallback {
        /**
         * The page was read, or could not be.
         *
         * @param hasMore whether there are keys after those of this page
         */
        void onPage(Result result, List<Entry> entries, boolean hasMore);
    }

    /** Receives the outcome of a transaction. */
    public interface TxnCallback {
        /**
         * The transaction was answered, or its outcome is unknown.
         *
         * @param storeRevision the revision of all changed keys, for {@code OK}; otherwise 0
         * @param failed the keys whose conditions did not hold, for {@code CONFLICT}
         */
        void onResult(Result result, long storeRevision, List<String> failed);
    }

    /** Receives the changes under a prefix. */
    public interface WatchCallback {
        /**
         * {@code NOT_FOUND} says that the revision asked for is too old.
         *
         * @param storeRevision up to which these are all changes
         */
        void onEvents(Result result, List<Event> events, long storeRevision);
    }

    /** Receives a granted or renewed lease. */
    public interface LeaseCallback {
        /** {@code NOT_FOUND} says that the lease has expired. */
        void onLease(Result result, long storeLease);
    }

    private final StoreRequestQueue queue;

    /** Starts as a follower, see {@link #setLeader}. */
    public StoreClient(
            EventLoop loop,
            HttpTransport transport,
            ServiceSettings settings,
            StoreLimits limits,
            Random random,
            HealthListener health) {
        int otherNodes = Math.max(1, settings.peers().size());
        queue =
                new StoreRequestQueue(
                        loop,
                        transport,
                        settings.storeAddress(),
                        limits,
                        otherNodes,
                        random,
                        health);
        queue.setLeader(false);
    }

    /**
     * Sets this node's part of the store's limits: what one node leaves is there for the others.
     */
    public void setLeader(boolean isLeader) {
        queue.setLeader(isLeader);
    }

    /** How many changes a second this node may make now. */
    public double writesPerSecond() {
        return queue.writesPerSecond();
    }

    /** Answers of the kind 429 or 503, or none at all, counted for the metrics. */
    public long failureCount() {
        return queue.failureCount();
    }

    /**
     * True if the store, when it last answered, refused to serve. Reads of changes then hang
     * instead of being refused.
     */
    public boolean isRefusing() {
        return queue.isRefusing();
    }

    /**
     * Requests that were not sent, as whoever had asked for them would not have waited for so long.
     */
    public long shedCount() {
        return queue.shed();
    }

    /** How many requests of the share wait to be sent. */
    public int queuedCount(RateShare share) {
        return queue.queuedCount(share);
    }

    /** For how long the oldest request of the share has waited to be sent. */
    public long longestQueuedMicros(RateShare share) {
        return queue.longestQueuedMicros(share);
    }

    /** Reads one key. */
    public void get(RequestPriority priority, String key, EntryCallback callback) {
        get(priority, key, NO_DEADLINE, callback);
    }

    /**
     * Reads one key.
     *
     * @param deadlineMicros the read is not sent any more after this moment, and not queued if it
     *     can't be sent by then
     */
    public void get(
            RequestPriority priority, String key, long deadlineMicros, EntryCallback callback) {
        queue.submit(
                priority,
                deadlineMicros,
                StoreRequest.get(
                        StoreProtocol.keyPath(key),
                        StoreRequestPolicy.TIMEOUT_MICROS,
                        (status, body) -> onEntryAnswer(status, body, callback)));
    }

    private static void onEntryAnswer(int status, byte[] body, EntryCallback callback) {
        try {
            switch (status) {
                case StoreProtocol.OK ->
                        callback.onEntry(Result.OK, StoreProtocol.decodeEntry(body), 0);
                case StoreProtocol.NOT_FOUND ->
                        callback.onEntry(
                                Result.NOT_FOUND, null, StoreProtocol.decodeStoreRevision(body));
                default -> callback.onEntry(StoreProtocol.failure(status), null, 0);
            }
        } catch (MalformedMessageException e) {
            callback.onEntry(Result.UNKNOWN, null, 0);
        }
    }

    /**
     * Reads one page of the keys with the prefix.
     *
     * @param after the last key of the page before, null for the first page
     */
    public void page(RequestPriority priority, String prefix, String after, PageCallback callback) {
        queue.submit(
                priority,
                NO_DEADLINE,
                StoreRequest.get(
                        StoreProtocol.pagePath(prefix, after),
                        StoreRequestPolicy.PAGE_TIMEOUT_MICROS,
                        (status, body) -> onSinglePage(status, body, callback)));
    }

    private static void onSinglePage(int status, byte[] body, PageCallback callback) {
        if (status != StoreProtocol.OK) {
            callback.onPage(StoreProtocol.failure(status), List.of(), false);
            return;
        }
        StoreProtocol.Page page;
        try {
            page = StoreProtocol.decodePage(body);
        } catch (MalformedMessageException e) {
            callback.onPage(Result.UNKNOWN, List.of(), false);
            return;
        }
        callback.onPage(Result.OK, page.entries(), page.hasMore());
    }

    /** Reads all keys with the prefix, page by page. */
    public void list(RequestPriority priority, String prefix, ListCallback callback) {
        listPage(priority, prefix, null, new Listing(), callback);
    }

    /** The pages of a list that have been read. */
    private static final class Listing {
        private final List<Entry> entries = new ArrayList<>();
        private long storeRevision;

        void add(StoreProtocol.Page page) {
            if (entries.isEmpty()) {
                storeRevision = page.storeRevision();
            }
            entries.addAll(page.entries());
        }

        String lastKey() {
            return entries.get(entries.size() - 1).key();
        }
    }

    /**
     * @param after the last key of the page before, null for the first page
     */
    private void listPage(
            RequestPriority priority,
            String prefix,
            String after,
            Listing listing,
            ListCallback callback) {
        queue.submit(
                priority,
                NO_DEADLINE,
                StoreRequest.get(
                        StoreProtocol.pagePath(prefix, after),
                        StoreRequestPolicy.PAGE_TIMEOUT_MICROS,
                        (status, body) ->
                                onPage(priority, prefix, listing, status, body, callback)));
    }

    private void onPage(
            RequestPriority priority,
            String prefix,
            Listing listing,
            int status,
            byte[] body,
            ListCallback callback) {
        if (status != StoreProtocol.OK) {
            callback.onEntries(StoreProtocol.failure(status), List.of(), 0);
            return;
        }
        StoreProtocol.Page page;
        try {
            page = StoreProtocol.decodePage(body);
        } catch (MalformedMessageException e) {
            callback.onEntries(Result.UNKNOWN, List.of(), 0);
            return;
        }
        listing.add(page);
        if (page.hasMore() && !listing.entries.isEmpty()) {
            listPage(priority, prefix, listing.lastKey(), listing, callback);
        } else {
            callback.onEntries(Result.OK, listing.entries, listing.storeRevision);
        }
    }

    /** Makes all changes at once if all conditions hold, and none of them otherwise. */
    public void txn(
            RequestPriority priority,
            List<Condition> conditions,
            List<Change> changes,
            TxnCallback callback) {
        txn(priority, NO_DEADLINE, conditions, changes, callback);
    }

    /**
     * The same with a deadline.
     *
     * @param deadlineMicros it is not sent any more after this moment, and not queued if it can't
     *     be sent by then
     */
    public void txn(
            RequestPriority priority,
            long deadlineMicros,
            List<Condition> conditions,
            List<Change> changes,
            TxnCallback callback) {
        submitTransaction(priority, deadlineMicros, conditions, changes, callback, null);
    }

    /**
     * The same, where the first of the changes that puts the given key has a value that nobody else
     * ever writes there: when the answer is late the key is read, and the value shows that the
     * transaction was executed. That it is not there shows nothing, as it may be executed still.
     *
     * @param proof the key, or null where no key is such a proof
     */
    public void txn(
            RequestPriority priority,
            List<Condition> conditions,
            List<Change> changes,
            String proof,
            TxnCallback callback) {
        UnansweredTransaction unanswered =
                new UnansweredTransaction(this, priority, conditions, changes, proof, callback);
        submitTransaction(
                priority, NO_DEADLINE, conditions, changes, unanswered, unanswered::checkProof);
    }

    private void submitTransaction(
            RequestPriority priority,
            long deadlineMicros,
            List<Condition> conditions,
            List<Change> changes,
            TxnCallback callback,
            Runnable onOverdue) {
        queue.submit(
                priority,
                deadlineMicros,
                StoreRequest.transaction(
                        StoreProtocol.TRANSACTIONS_PATH,
                        StoreProtocol.encodeTransaction(conditions, changes),
                        changes.size(),
                        (status, body) -> onTransactionAnswer(status, body, callback),
                        onOverdue));
    }

    private static void onTransactionAnswer(int status, byte[] body, TxnCallback callback) {
        try {
            switch (status) {
                case StoreProtocol.OK ->
                        callback.onResult(
                                Result.OK, StoreProtocol.decodeStoreRevision(body), List.of());
                case StoreProtocol.CONFLICT ->
                        callback.onResult(Result.CONFLICT, 0, StoreProtocol.decodeFailedKeys(body));
                default -> callback.onResult(StoreProtocol.failure(status), 0, List.of());
            }
        } catch (MalformedMessageException e) {
            callback.onResult(Result.UNKNOWN, 0, List.of());
        }
    }

    /** Asks for a lease; keys that are put on it are deleted when it expires. */
    public void grantLease(long lifetimeMicros, LeaseCallback callback) {
        queue.submit(
                RequestPriority.CONTROL,
                NO_DEADLINE,
                StoreRequest.post(
                        StoreProtocol.LEASES_PATH,
                        StoreProtocol.encodeLeaseRequest(lifetimeMicros),
                        (status, body) -> onLeaseAnswer(status, body, callback)));
    }

    private static void onLeaseAnswer(int status, byte[] body, LeaseCallback callback) {
        if (status != StoreProtocol.OK) {
            callback.onLease(StoreProtocol.failure(status), Change.NO_LEASE);
            return;
        }
        try {
            callback.onLease(Result.OK, StoreProtocol.decodeLease(body));
        } catch (MalformedMessageException e) {
            callback.onLease(Result.UNKNOWN, Change.NO_LEASE);
        }
    }

    /** Renews a lease for its whole lifetime. */
    public void renewLease(long storeLease, LeaseCallback callback) {
        queue.submit(
                RequestPriority.CONTROL,
                NO_DEADLINE,
                StoreRequest.post(
                        StoreProtocol.renewalPath(storeLease),
                        StoreProtocol.encodeRenewal(),
                        (status, body) ->
                                callback.onLease(
                                        status == StoreProtocol.OK
                                                ? Result.OK
                                                : StoreProtocol.failure(status),
                                        storeLease)));
    }

    /**
     * Waits for changes under the prefix after the given revision of the store. An open watch takes
     * no place among the requests in flight.
     */
    public void watch(String prefix, long since, long blockMicros, WatchCallback callback) {
        queue.sendUnqueued(
                StoreRequest.get(
                        StoreProtocol.watchPath(prefix, since, blockMicros),
                        blockMicros + StoreRequestPolicy.WATCH_GRACE_MICROS,
                        (status, body) -> onWatchAnswer(status, body, since, callback)));
    }

    /**
     * Reads what has changed under the prefix after the given revision of the store, without
     * waiting for more.
     */
    public void readChanges(
            RequestPriority priority, String prefix, long since, WatchCallback callback) {
        queue.submit(
                priority,
                NO_DEADLINE,
                StoreRequest.get(
                        StoreProtocol.watchPath(prefix, since, 0),
                        StoreRequestPolicy.TIMEOUT_MICROS,
                        (status, body) -> onWatchAnswer(status, body, since, callback)));
    }

    private static void onWatchAnswer(int status, byte[] body, long since, WatchCallback callback) {
        if (status == StoreProtocol.COMPACTED) {
            callback.onEvents(Result.NOT_FOUND, List.of(), since);
            return;
        }
        if (status != StoreProtocol.OK) {
            callback.onEvents(StoreProtocol.failure(status), List.of(), since);
            return;
        }
        try {
            StoreProtocol.Events changes = StoreProtocol.decodeEvents(body);
            callback.onEvents(Result.OK, changes.events(), changes.storeRevision());
        } catch (MalformedMessageException e) {
            callback.onEvents(Result.UNKNOWN, List.of(), since);
        }
    }
}
