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
 * A transaction whose answer may get lost. One of its changes puts a value that no other writer
 * ever puts at that key, so reading this value proves that the whole transaction was executed. The
 * callback is called once, with the answer or the proof, whichever comes first.
 */
final class UnansweredTransaction implements TxnCallback {
    private final StoreClient store;
    private final RequestPriority priority;

    /** The change whose value proves the execution, or null. */
    private final Change proofChange;

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
        this.proofChange =
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

    /**
     * Called when the answer to the transaction is late. Reads the proof key: finding the value
     * that the transaction writes there proves that the transaction was executed.
     */
    void checkProof() {
        if (isCompleted || proofChange == null) {
            return;
        }
        store.get(
                priority,
                proofChange.key(),
                (result, entry, storeRevision) -> {
                    if (result == Result.OK
                            && entry.revision() > revisionBefore
                            && matchesWrittenValue(entry.value())) {
                        // All keys changed by a transaction have the same revision.
                        onResult(Result.OK, entry.revision(), List.of());
                    }
                });
    }

    /** Compares with the encoded and decoded value, because decoding may change number types. */
    private boolean matchesWrittenValue(Map<String, Object> value) {
        try {
            return Cbor.decodeMap(Cbor.encode(proofChange.value())).equals(value);
        } catch (MalformedMessageException e) {
            return false;
        }
    }
}
