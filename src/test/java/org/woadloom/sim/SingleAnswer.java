package org.woadloom.sim;

import java.util.Map;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;

/** Passes on the first answer to a request and drops later ones, such as a timeout. */
final class SingleAnswer {
    private final HttpTransport.Callback callback;
    private boolean isAnswered;

    SingleAnswer(HttpTransport.Callback callback) {
        this.callback = callback;
    }

    /** Passes on the answer if it is the first; a status of 0 or less has no body. */
    void answer(int status, Map<String, Object> body) {
        if (!isAnswered) {
            isAnswered = true;
            callback.onResponse(status, status > 0 ? Cbor.encode(body) : new byte[0]);
        }
    }
}
