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
 * Client of the store, a consensus-backed key-value store. It supports reads, compare-and-swap
 * transactions on key revisions, watches, and leases that keys can be attached to.
 *
 * <p>{@link StoreRequestQueue} decides when a request is sent, {@link StoreProtocol} encodes
 * requests and decodes answers, {@link StoreRequestPolicy} holds timeouts and limits. The client
 * never retries, because only the caller knows whether a request is still wanted. All callbacks run
 * on the event loop.
 */
public final class StoreClient {
    /** Deadline of a request that may stay queued for any length of time. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    /**
     * Priority of a request. {@link RateShare} defines how the rate is divided between classes with
     * queued requests.
     */
    public enum RequestPriority {
        /**
         * Elections, renewals of the leader's lease and leadership checks. Sent before everything
         * else.
         */
        CONTROL(null),
        /**
         * A user's cancellation. Sent before other user requests because it frees resources that
         * they may wait for.
         */
        CANCELLATION(RateShare.USERS),
        /**
         * A read whose result answers all users waiting on this node. Sent before reads for a
         * single user.
         */
        SHARED_READ(RateShare.USERS),
        /** A request that a user waits for. */
        USER(RateShare.USERS),
        /** A request that work on machines waits for. */
        URGENT(RateShare.URGENT),
        /**
         * The second read of a lookup of normal priority. Sent before the first reads of others, as
         * the first one is in vain if the second one is dropped.
         */
        FOLLOW_UP(RateShare.NORMAL),
        /** A request that may be slightly late, such as job progress. */
        NORMAL(RateShare.NORMAL),
        /** Background maintenance. */
        BACKGROUND(RateShare.BACKGROUND);

        private final RateShare share;

        RequestPriority(RateShare share) {
            this.share = share;
        }

        /** Returns the rate share that the request uses, null for control requests. */
        RateShare share() {
            return share;
        }

        /** Returns true if the request is sent before the other requests of its share. */
        boolean isPreferred() {
            return this == CANCELLATION || this == SHARED_READ || this == FOLLOW_UP;
        }
    }

    /** Outcome of a request. */
    public enum Result {
        /** The request was executed. */
        OK,
        /** The key or lease does not exist, or the requested change history has been compacted. */
        NOT_FOUND,
        /** A condition of the transaction failed; nothing was executed. */
        CONFLICT,
        /**
         * The store rejected the request as invalid, for example because it exceeds a size limit;
         * not executed.
         */
        BAD,
        /**
         * Not executed: the request was not sent, or the store refused to serve it. A later attempt
         * may succeed.
         */
        UNAVAILABLE,
        /**
         * No answer arrived, or it could not be decoded. The request may have been executed, or may
         * still be executed later.
         */
        UNKNOWN
    }

    /** A key with its value and the revision of its last change. */
    public record Entry(String key, Map<String, Object> value, long revision) {}

    /**
     * A condition of a transaction: the current revision of the key, 0 if the key must not exist.
     */
    public record Condition(String key, long revision) {}

    /** A change of a transaction: a put, or a deletion if the value is null. */
    public record Change(String key, Map<String, Object> value, long storeLease) {
        /** Lease id of keys that are not attached to a lease. */
        static final long NO_LEASE = 0;

        /** Creates a put of a key that is not attached to a lease. */
        public static Change put(String path, Map<String, Object> value) {
            return new Change(path, value, NO_LEASE);
        }

        /** Creates a deletion. */
        public static Change delete(String path) {
            return new Change(path, null, NO_LEASE);
        }
    }

    /** A change reported by a watch. The value is null if the key was deleted. */
    public record Event(String key, Map<String, Object> value, long revision) {}

    /** Listener for the availability of the store. */
    public interface HealthListener {
        /**
         * Called when a request was answered or has timed out.
         *
         * @param isServing false for status 503 or no answer
         */
        void onAnswer(boolean isServing);
    }

    /** Callback for a read of one key. */
    public interface EntryCallback {
        /**
         * Called when the read has ended.
         *
         * @param entry null unless the result is {@code OK}
         * @param storeRevision revision at which the key did not exist, for {@code NOT_FOUND};
         *     otherwise 0
         */
        void onEntry(Result result, Entry entry, long storeRevision);
    }

    /** Callback for a read of all keys with a prefix. */
    public interface ListCallback {
        /**
         * Called when all pages were read or one of them failed.
         *
         * @param storeRevision revision of the first page; the caller reads later changes with a
         *     watch from this revision
         */
        void onEntries(Result result, List<Entry> entries, long storeRevision);
    }

    /** Callback for a read of one page of the keys with a prefix. */
    public interface PageCallback {
        /**
         * Called when the read has ended.
         *
         * @param hasMore true if there are keys after this page
         */
        void onPage(Result result, List<Entry> entries, boolean hasMore);
    }

    /** Callback for a transaction. */
    public interface TxnCallback {
        /**
         * Called when the transaction was answered, or its outcome is unknown.
         *
         * @param storeRevision the revision of all changed keys, for {@code OK}; otherwise 0
         * @param failed the keys whose conditions failed, for {@code CONFLICT}
         */
        void onResult(Result result, long storeRevision, List<String> failed);
    }

    /** Callback for the changes of keys with a prefix. */
    public interface WatchCallback {
        /**
         * Called when the changes were read. The result is {@code NOT_FOUND} if the requested
         * revision has been compacted.
         *
         * @param storeRevision revision up to which the events are complete
         */
        void onEvents(Result result, List<Event> events, long storeRevision);
    }

    /** Callback for a granted or renewed lease. */
    public interface LeaseCallback {
        /**
         * Called when the request has ended. The result is {@code NOT_FOUND} if the lease has
         * expired.
         */
        void onLease(Result result, long storeLease);
    }

    private final StoreRequestQueue queue;

    /** Creates a client with the rate limits of a follower, see {@link #setLeader}. */
    public StoreClient(
            EventLoop loop,
            HttpTransport transport,
            ServiceSettings settings,
            StoreLimits limits,
            Random random,
            HealthListener healthListener) {
        int followerCount = Math.max(1, settings.peers().size());
        queue =
                new StoreRequestQueue(
                        loop,
                        transport,
                        settings.storeAddress(),
                        limits,
                        followerCount,
                        random,
                        healthListener);
        queue.setLeader(false);
    }

    /**
     * Sets this node's part of the store's rate limits. The leader gets a larger part, and the rest
     * is divided among the other nodes.
     */
    public void setLeader(boolean isLeader) {
        queue.setLeader(isLeader);
    }

    /** Returns the number of changes per second that this node may currently make. */
    public double writesPerSecond() {
        return queue.writesPerSecond();
    }

    /** Returns the number of requests per second that this node may currently send. */
    public double requestsPerSecond() {
        return queue.requestsPerSecond();
    }

    /**
     * Returns how many requests the store refused because they exceeded a rate limit, since the
     * process started.
     */
    public long rateRefusalCount() {
        return queue.rateRefusalCount();
    }

    /**
     * Returns how many requests were answered with 429 or 503 or not at all, since the process
     * started.
     */
    public long failureCount() {
        return queue.failureCount();
    }

    /**
     * Returns true if the store's latest answer was a refusal to serve. In that state the store
     * leaves reads of changes unanswered instead of refusing them.
     */
    public boolean isRefusing() {
        return queue.isRefusing();
    }

    /**
     * Returns how many requests were dropped unsent, since the process started: they would have
     * missed their deadline, or their queue was full.
     */
    public long shedCount() {
        return queue.shed();
    }

    /** Returns the number of queued requests of the share. */
    public int queuedCount(RateShare share) {
        return queue.queuedCount(share);
    }

    /** Returns how long the oldest queued request of the share has waited. */
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
     * @param deadlineMicros the read is not sent after this time, and is refused immediately if it
     *     cannot be sent by then
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
                default -> callback.onEntry(StoreProtocol.resultOf(status), null, 0);
            }
        } catch (MalformedMessageException e) {
            callback.onEntry(Result.UNKNOWN, null, 0);
        }
    }

    /**
     * Reads one page of the keys with the prefix.
     *
     * @param after last key of the previous page, null for the first page
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
            callback.onPage(StoreProtocol.resultOf(status), List.of(), false);
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
        listPage(priority, prefix, null, new PagedEntries(), callback);
    }

    /** Accumulates the pages of a list. */
    private static final class PagedEntries {
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
     * @param after last key of the previous page, null for the first page
     */
    private void listPage(
            RequestPriority priority,
            String prefix,
            String after,
            PagedEntries pages,
            ListCallback callback) {
        queue.submit(
                priority,
                NO_DEADLINE,
                StoreRequest.get(
                        StoreProtocol.pagePath(prefix, after),
                        StoreRequestPolicy.PAGE_TIMEOUT_MICROS,
                        (status, body) -> onPage(priority, prefix, pages, status, body, callback)));
    }

    private void onPage(
            RequestPriority priority,
            String prefix,
            PagedEntries pages,
            int status,
            byte[] body,
            ListCallback callback) {
        if (status != StoreProtocol.OK) {
            callback.onEntries(StoreProtocol.resultOf(status), List.of(), 0);
            return;
        }
        StoreProtocol.Page page;
        try {
            page = StoreProtocol.decodePage(body);
        } catch (MalformedMessageException e) {
            callback.onEntries(Result.UNKNOWN, List.of(), 0);
            return;
        }
        pages.add(page);
        if (page.hasMore() && !pages.entries.isEmpty()) {
            listPage(priority, prefix, pages.lastKey(), pages, callback);
        } else {
            callback.onEntries(Result.OK, pages.entries, pages.storeRevision);
        }
    }

    /** Executes all changes atomically if all conditions hold, otherwise none of them. */
    public void txn(
            RequestPriority priority,
            List<Condition> conditions,
            List<Change> changes,
            TxnCallback callback) {
        txn(priority, NO_DEADLINE, conditions, changes, callback);
    }

    /**
     * Executes a transaction that is only useful until a deadline.
     *
     * @param deadlineMicros the transaction is not sent after this time, and is refused immediately
     *     if it cannot be sent by then
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
     * Executes a transaction whose execution can be verified when the answer is late or lost. The
     * change of the key {@code proof} must put a value that no other writer ever puts there. If the
     * answer is late, the client reads that key: finding the value shows that the transaction was
     * executed. Not finding it shows nothing, because the transaction may still be executed later.
     *
     * @param proof the key to read, or null if no key can serve as proof
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
                default -> callback.onResult(StoreProtocol.resultOf(status), 0, List.of());
            }
        } catch (MalformedMessageException e) {
            callback.onResult(Result.UNKNOWN, 0, List.of());
        }
    }

    /** Requests a new lease. When it expires, the store deletes the keys attached to it. */
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
            callback.onLease(StoreProtocol.resultOf(status), Change.NO_LEASE);
            return;
        }
        try {
            callback.onLease(Result.OK, StoreProtocol.decodeLease(body));
        } catch (MalformedMessageException e) {
            callback.onLease(Result.UNKNOWN, Change.NO_LEASE);
        }
    }

    /** Extends a lease by its full lifetime. */
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
                                                : StoreProtocol.resultOf(status),
                                        storeLease)));
    }

    /**
     * Waits for changes of keys with the prefix after the given store revision. An open watch does
     * not count as a request in flight.
     */
    public void watch(String prefix, long since, long blockMicros, WatchCallback callback) {
        queue.sendUnqueued(
                StoreRequest.get(
                        StoreProtocol.watchPath(prefix, since, blockMicros),
                        blockMicros + StoreRequestPolicy.WATCH_GRACE_MICROS,
                        (status, body) -> onWatchAnswer(status, body, since, callback)));
    }

    /**
     * Reads the changes of keys with the prefix after the given store revision, without waiting for
     * further changes.
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
            callback.onEvents(StoreProtocol.resultOf(status), List.of(), since);
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
