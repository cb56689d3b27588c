package org.woadloom.store;

import java.util.List;
import java.util.Map;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreClient.TxnCallback;

/**
 * A transaction whose answer may be lost. One key of it gets a value that nobody else ever writes
 * there: once that is read, all of the transaction was executed. The callback gets whatever comes
 * first, the answer or the proof, once.
 */
final class UnansweredTransaction implements TxnCallback {
    private final StoreClient store;
    private final RequestPriority priority;

    /** The change that proves the execution, or null if there is none. */
    private final Change proof;

    private final long revisionBefore;
    private final TxnCallback callback;
    private boolean isCompleted;

    UnansweredTransaction(
            StoreClient store,
            RequestPriority priority,
            List<Condition> conditions,
            List<Change> changes,
            String proofKey,
            TxnCallback callback) {
        this.store = store;
        this.priority = priority;
        this.callback = callback;
        this.proof =
                changes.stream()
                        .filter(change -> change.key().equals(proofKey) && change.value() != null)
                        .findFirst()
                        .orElse(null);
        revisionBefore =
                conditions.stream()
                        .filter(condition -> condition.key().equals(proofKey))
                        .mapToLong(Condition::revision)
                        .findFirst()
                        .orElse(0);
    }

    @Override
    public void onResult(Result result, long storeRevision, List<String> failed) {
        if (!isCompleted) {
            isCompleted = true;
            callback.onResult(result, storeRevision, failed);
        }
    }

    /** Reads the key that proves the execution, as the answer is late. */
    void checkProof() {
        if (isCompleted || proof == null) {
            return;
        }
        store.get(
                priority,
                proof.key(),
                (result, entry, storeRevision) -> {
                    if (result == Result.OK
                            && entry.revision() > revisionBefore
                            && isAsWritten(entry.value())) {
                        // All changes of a transaction have the same revision.
                        onResult(Result.OK, entry.revision(), List.of());
                    }
                });
    }

    /** Compares with the value as it would be decoded, whose types may differ. */
    private boolean isAsWritten(Map<String, Object> value) {
        try {
            return Cbor.decodeMap(Cbor.encode(proof.value())).equals(value);
        } catch (MalformedMessageException e) {
            return false;
        }
    }
}
