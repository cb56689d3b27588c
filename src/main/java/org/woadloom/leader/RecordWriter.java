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
 * Writes a leader's records. Every transaction is conditional on the leader key's revision, so that
 * whatever arrives after another node has taken over can only fail, and on the revision of each
 * record that it changes.
 */
public final class RecordWriter {
    /** Of one transaction, as far as it is not one record alone. */
    private static final int MAX_TRANSACTION_BYTES = 56 * 1024;

    /** Counted for each change beside its value: key, revision and their names. */
    private static final int CHANGE_OVERHEAD_BYTES = 260;

    private static final long NO_REVISION = 0;

    /** One record's write: conditions and changes that belong together. */
    public record Write(List<Condition> conditions, List<Change> changes, WriteCallback callback) {
        /** About how many bytes of a transaction it takes. */
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
    /** Is told what became of one write. */
    public interface WriteCallback {
        /**
         * The write was answered, or never will be.
         *
         * @param revision of the written records, 0 unless they were written
         */
        void onWritten(WriteOutcome outcome, long revision);
    }

    private final StoreClient store;
    private final StoreLimits limits;
    private final long leaderRevision;
    private final Runnable onDeposed;
    private final List<Write> urgent = new ArrayList<>();
    private final List<Write> normal = new ArrayList<>();

    /**
     * @param leaderRevision the leader key's revision since this node leads
     * @param onDeposed run when a write shows that another node has taken over
     */
    public RecordWriter(
            StoreClient store, StoreLimits limits, long leaderRevision, Runnable onDeposed) {
        this.store = store;
        this.limits = limits;
        this.leaderRevision = leaderRevision;
        this.onDeposed = onDeposed;
    }

    /** Adds a write, which is sent by the next {@link #flush}. */
    public void add(boolean isUrgent, Write write) {
        (isUrgent ? urgent : normal).add(write);
    }

    /** Sends what was added, in as few transactions as the limits allow. */
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
     * The key of a record that nobody else can have written like this, or null: a job's, which has
     * the term and the version of this write. Another leader's record of a machine may well be
     * equal.
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
     * A value or the number of changes is above a limit that has fallen. Each record is tried by
     * itself, so that what is too large holds up nothing else; nothing was executed.
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
            onDeposed.run();
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
        // One record's conflict must not hold up the others of the transaction.
        if (retry.size() < batch.size()) {
            send(priority, retry);
        } else {
            complete(batch, WriteOutcome.UNKNOWN, NO_REVISION);
        }
    }

    /** A put of one key on condition of its revision. */
    public static Write conditionalPut(
            String key, Map<String, Object> value, long revision, WriteCallback callback) {
        return new Write(
                List.of(new Condition(key, revision)), List.of(Change.put(key, value)), callback);
    }
}
