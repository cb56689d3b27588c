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
 * Writes a leader's records. Every transaction is conditional on the leader key's stamp, so that
 * whatever arrives after another node has taken over can only fail, and on the stamp of each record
 * it changes.
 */
public final class RecordWriter {
    private static final int MAX_BYTES = 56 * 1024;

    /** One record's write: conditions and changes that belong together. */
    public record Write(List<Condition> conditions, List<Change> changes, Outcome callback) {
        int size() {
            int size = 0;
            for (Change change : changes) {
                size += 260 + Cbor.jsonSize(change.value());
            }
            return size;
        }
    }

    public interface Outcome {
        void onWritten(WriteOutcome outcome, long revision);
    }

    private final StoreClient store;
    private final StoreLimits limits;
    private final long leaderStamp;
    private final Runnable onDeposed;
    private final List<Write> urgent = new ArrayList<>();
    private final List<Write> normal = new ArrayList<>();

    public RecordWriter(
            StoreClient store, StoreLimits limits, long leaderRevision, Runnable deposed) {
        this.store = store;
        this.limits = limits;
        this.leaderStamp = leaderRevision;
        this.onDeposed = deposed;
    }

    public void add(boolean isUrgent, Write write) {
        (isUrgent ? urgent : normal).add(write);
    }

    /** Sends what was added, in as few transactions as the limits allow. */
    public void flush() {
        send(RequestPriority.URGENT, urgent);
        send(RequestPriority.NORMAL, normal);
    }

    private void send(RequestPriority urgency, List<Write> writes) {
        List<Write> batch = new ArrayList<>();
        int ops = 0;
        int bytes = 0;
        for (Write write : writes) {
            int size = write.size();
            if (!batch.isEmpty()
                    && (ops + write.changes.size() > limits.txnOps() || bytes + size > MAX_BYTES)) {
                writeBatch(urgency, batch);
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
            writeBatch(urgency, batch);
        }
    }

    private void writeBatch(RequestPriority urgency, List<Write> batch) {
        List<Condition> conditions = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        conditions.add(new Condition(StoreKeys.LEADER, leaderStamp));
        for (Write write : batch) {
            conditions.addAll(write.conditions);
            changes.addAll(write.changes);
        }
        store.txn(
                urgency,
                conditions,
                changes,
                proof(changes),
                (result, storeRevision, failed) -> {
                    switch (result) {
                        case OK ->
                                batch.forEach(
                                        write ->
                                                write.callback.onWritten(
                                                        WriteOutcome.WRITTEN, storeRevision));
                        case CONFLICT -> onConflict(urgency, batch, failed);
                        case UNAVAILABLE, NOT_FOUND ->
                                batch.forEach(
                                        write ->
                                                write.callback.onWritten(
                                                        WriteOutcome.NOT_WRITTEN, 0));
                        case BAD -> onRefused(urgency, batch, changes);
                        case UNKNOWN ->
                                batch.forEach(
                                        write -> write.callback.onWritten(WriteOutcome.UNKNOWN, 0));
                    }
                });
    }

    /**
     * The key of a record that nobody else can have written like this: a job's, which names the
     * term and the version of this write. What another leader writes of a machine may well read the
     * same.
     */
    private static String proof(List<Change> changes) {
        for (Change change : changes) {
            if (change.path().startsWith(StoreKeys.JOBS) && change.value() != null) {
                return change.path();
            }
        }
        return null;
    }

    /**
     * A value or the number of changes is above a limit that has fallen. Each record is tried by
     * itself, so that what is too large holds up nothing else; nothing was executed.
     */
    private void onRefused(RequestPriority urgency, List<Write> batch, List<Change> changes) {
        if (batch.size() > 1) {
            limits.onTransactionRefused(changes.size());
            batch.forEach(write -> writeBatch(urgency, List.of(write)));
            return;
        }
        int largest = 0;
        for (Change change : changes) {
            largest = Math.max(largest, Cbor.jsonSize(change.value()));
        }
        limits.onValueRefused(largest);
        batch.get(0).callback.onWritten(WriteOutcome.TOO_LARGE, 0);
    }

    private void onConflict(RequestPriority urgency, List<Write> batch, List<String> failed) {
        if (failed.contains(StoreKeys.LEADER)) {
            onDeposed.run();
            return;
        }
        List<Write> retry = new ArrayList<>();
        for (Write write : batch) {
            boolean mine =
                    write.conditions.stream()
                            .anyMatch(condition -> failed.contains(condition.path()));
            if (mine) {
                write.callback.onWritten(WriteOutcome.CONFLICT, 0);
            } else {
                retry.add(write);
            }
        }
        // One record's conflict must not hold up the others of the transaction.
        if (retry.size() < batch.size()) {
            send(urgency, retry);
        } else {
            batch.forEach(write -> write.callback.onWritten(WriteOutcome.UNKNOWN, 0));
        }
    }

    /** A put of one key on condition of its stamp. */
    public static Write put(
            String key, Map<String, Object> value, long revision, Outcome callback) {
        return new Write(
                List.of(new Condition(key, revision)), List.of(Change.put(key, value)), callback);
    }
}
