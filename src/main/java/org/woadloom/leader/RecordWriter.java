package org.woadloom.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerEvent.WriteOutcome;
import org.woadloom.protocol.Cbor;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreKeys;
import org.woadloom.store.StoreLimits;

/**
 * Writes the leader's records. Every transaction is conditional on the leader key's revision, so
 * that transactions that reach the store after another node took over are rejected, and on the
 * revision of each record that it changes.
 */
public final class RecordWriter {
    /** The maximum size of a transaction with more than one write. */
    private static final int MAX_TRANSACTION_BYTES = 56 * 1024;

    /**
     * The estimated size of a change apart from its value: the key, the revision and their field
     * names.
     */
    private static final int CHANGE_OVERHEAD_BYTES = 260;

    private static final long NO_REVISION = 0;

    /** Conditions and changes that belong together, usually those of one record. */
    public record Write(List<Condition> conditions, List<Change> changes, WriteCallback callback) {
        /** The estimated size in a transaction, in bytes. */
        int size() {
            int size = 0;
            for (Change change : changes) {
                size += CHANGE_OVERHEAD_BYTES + Cbor.maxJsonSize(change.value());
            }
            return size;
        }

        boolean hasCondition(List<String> failedKeys) {
            return conditions.stream().anyMatch(condition -> failedKeys.contains(condition.key()));
        }
    }

    /** Receives the outcome of a write. */
    public interface WriteCallback {
        /**
         * Called once the write was answered or no answer is expected any more.
         *
         * @param revision the revision of the written records, or 0 if they were not written
         */
        void onWritten(WriteOutcome outcome, long revision);
    }

    private final StoreClient store;
    private final StoreLimits limits;
    private final long leaderRevision;
    private final Runnable onLeadershipLost;
    private final List<Write> urgent = new ArrayList<>();
    private final List<Write> normal = new ArrayList<>();

    /**
     * @param leaderRevision the leader key's revision in this leader's term
     * @param onLeadershipLost run when a write shows that another node has become the leader
     */
    public RecordWriter(
            StoreClient store, StoreLimits limits, long leaderRevision, Runnable onLeadershipLost) {
        this.store = store;
        this.limits = limits;
        this.leaderRevision = leaderRevision;
        this.onLeadershipLost = onLeadershipLost;
    }

    /** Adds a write, which is sent by the next {@link #flush}. */
    public void add(boolean isUrgent, Write write) {
        (isUrgent ? urgent : normal).add(write);
    }

    /** Sends the added writes in as few transactions as the limits allow. */
    public void flush() {
        send(RequestPriority.URGENT, urgent);
        send(RequestPriority.NORMAL, normal);
    }

    private void send(RequestPriority priority, List<Write> writes) {
        List<Write> batch = new ArrayList<>();
        int ops = 0;
        int bytes = 0;
        for (Write write : writes) {
            int size = write.size();
            if (!batch.isEmpty()
                    && (ops + write.changes.size() > limits.maxTransactionChanges()
                            || bytes + size > MAX_TRANSACTION_BYTES)) {
                writeBatch(priority, batch);
                batch = new ArrayList<>();
                ops = 0;
                bytes = 0;
            }
            batch.add(write);
            ops += write.changes.size();
            bytes += size;
        }
        writes.clear();
        if (!batch.isEmpty()) {
            writeBatch(priority, batch);
        }
    }

    private void writeBatch(RequestPriority priority, List<Write> batch) {
        List<Condition> conditions = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        conditions.add(new Condition(StoreKeys.LEADER, leaderRevision));
        for (Write write : batch) {
            conditions.addAll(write.conditions);
            changes.addAll(write.changes);
        }
        store.txn(
                priority,
                conditions,
                changes,
                proofKey(changes),
                (result, storeRevision, failed) -> {
                    switch (result) {
                        case OK -> complete(batch, WriteOutcome.WRITTEN, storeRevision);
                        case CONFLICT -> onConflict(priority, batch, failed);
                        case UNAVAILABLE, NOT_FOUND ->
                                complete(batch, WriteOutcome.NOT_WRITTEN, NO_REVISION);
                        case BAD -> onRefused(priority, batch, changes);
                        case UNKNOWN -> complete(batch, WriteOutcome.UNKNOWN, NO_REVISION);
                    }
                });
    }

    private static void complete(List<Write> batch, WriteOutcome outcome, long revision) {
        batch.forEach(write -> write.callback.onWritten(outcome, revision));
    }

    /**
     * The key whose stored value proves that these changes were executed, or null. Only a job
     * record is a proof, as it contains the term and the version of this write; another leader
     * might write an equal machine record.
     */
    private static String proofKey(List<Change> changes) {
        for (Change change : changes) {
            if (change.key().startsWith(StoreKeys.JOB_PREFIX) && change.value() != null) {
                return change.key();
            }
        }
        return null;
    }

    /**
     * Handles a transaction that the store refused as too large: a limit on values or on the number
     * of changes has been lowered. Nothing was executed. Each write is sent in its own transaction,
     * so that only those that are too large fail.
     */
    private void onRefused(RequestPriority priority, List<Write> batch, List<Change> changes) {
        if (batch.size() > 1) {
            limits.onTransactionRefused(changes.size());
            batch.forEach(write -> writeBatch(priority, List.of(write)));
            return;
        }
        int largest = 0;
        for (Change change : changes) {
            largest = Math.max(largest, Cbor.maxJsonSize(change.value()));
        }
        limits.onValueRefused(largest);
        batch.get(0).callback.onWritten(WriteOutcome.TOO_LARGE, NO_REVISION);
    }

    private void onConflict(RequestPriority priority, List<Write> batch, List<String> failed) {
        if (failed.contains(StoreKeys.LEADER)) {
            onLeadershipLost.run();
            return;
        }
        List<Write> retry = new ArrayList<>();
        for (Write write : batch) {
            boolean isInConflict = write.hasCondition(failed);
            if (isInConflict) {
                write.callback.onWritten(WriteOutcome.CONFLICT, NO_REVISION);
            } else {
                retry.add(write);
            }
        }
        // A conflict of one write must not hold up the other writes of the transaction.
        if (retry.size() < batch.size()) {
            send(priority, retry);
        } else {
            complete(batch, WriteOutcome.UNKNOWN, NO_REVISION);
        }
    }

    /** A write of one key that is conditional on the key's revision. */
    public static Write conditionalPut(
            String key, Map<String, Object> value, long revision, WriteCallback callback) {
        return new Write(
                List.of(new Condition(key, revision)), List.of(Change.put(key, value)), callback);
    }
}
