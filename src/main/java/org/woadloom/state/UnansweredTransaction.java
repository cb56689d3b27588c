package org.woadloom.state;

import java.util.List;
import java.util.Map;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Condition;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.TxnCallback;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.WireException;

/**
 * A transaction whose answer may be lost. One key of it gets a value that nobody else ever writes
 * there: once that is read, all of the transaction was carried out. Whatever comes first is told,
 * once.
 */
final class UnansweredTransaction implements TxnCallback {
    private final StateClient state;
    private final Urgency urgency;
    private final Change proof;
    private final long stampBefore;
    private final TxnCallback callback;
    private boolean told;

    UnansweredTransaction(
            StateClient state,
            Urgency urgency,
            List<Condition> conditions,
            List<Change> changes,
            String proof,
            TxnCallback callback) {
        this.state = state;
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
                        .mapToLong(Condition::stamp)
                        .findFirst()
                        .orElse(0);
    }

    @Override
    public void done(Result result, long generation, List<String> failed) {
        if (!told) {
            told = true;
            callback.done(result, generation, failed);
        }
    }

    /** The answer is late. */
    void look() {
        if (told || proof == null) {
            return;
        }
        state.get(
                urgency,
                proof.path(),
                (result, entry, generation) -> {
                    if (result == Result.OK
                            && entry.stamp() > stampBefore
                            && asWritten(entry.value())) {
                        // All changes of a transaction have the same stamp.
                        done(Result.OK, entry.stamp(), List.of());
                    }
                });
    }

    private boolean asWritten(Map<String, Object> value) {
        try {
            return Cbor.decodeMap(Cbor.encode(proof.value())).equals(value);
        } catch (WireException e) {
            return false;
        }
    }
}
