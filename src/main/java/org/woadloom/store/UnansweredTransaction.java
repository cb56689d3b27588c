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
 * there: once that is read, all of the transaction was carried out. Whatever comes first is told,
 * once.
 */
final class UnansweredTransaction implements TxnCallback {
    private final StoreClient store;
    private final RequestPriority urgency;
    private final Change proof;
    private final long stampBefore;
    private final TxnCallback callback;
    private boolean completed;

    UnansweredTransaction(
            StoreClient store,
            RequestPriority urgency,
            List<Condition> conditions,
            List<Change> changes,
            String proof,
            TxnCallback callback) {
        this.store = store;
        this.urgency = urgency;
        this.callback = callback;
        this.proof =
                changes.stream()
                        .filter(change -> change.path().equals(proof) && change.value() != null)
                        .findFirst()
                        .orElse(null);
        stampBefore =
                conditions.stream()
                        .filter(condition -> condition.path().equals(proof))
                        .mapToLong(Condition::revision)
                        .findFirst()
                        .orElse(0);
    }

    @Override
    public void onResult(Result result, long storeRevision, List<String> failed) {
        if (!completed) {
            completed = true;
            callback.onResult(result, storeRevision, failed);
        }
    }

    /** The answer is late. */
    void checkProof() {
        if (completed || proof == null) {
            return;
        }
        store.get(
                urgency,
                proof.path(),
                (result, entry, storeRevision) -> {
                    if (result == Result.OK
                            && entry.revision() > stampBefore
                            && isAsWritten(entry.value())) {
                        // All changes of a transaction have the same stamp.
                        onResult(Result.OK, entry.revision(), List.of());
                    }
                });
    }

    private boolean isAsWritten(Map<String, Object> value) {
        try {
            return Cbor.decodeMap(Cbor.encode(proof.value())).equals(value);
        } catch (MalformedMessageException e) {
            return false;
        }
    }
}
