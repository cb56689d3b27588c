package org.woadloom.sim;

import java.util.Map;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;

/** The answer to one request: whatever comes after the first, such as a time-out, is dropped. */
final class SingleAnswer {
    private final HttpTransport.Callback callback;
    private boolean isAnswered;

    SingleAnswer(HttpTransport.Callback callback) {
        this.callback = callback;
    }

    /** Answers, unless that has been done; a status without a response has no body. */
    void answer(int status, Map<String, Object> body) {
        if (!isAnswered) {
            isAnswered = true;
            callback.onResponse(status, status > 0 ? Cbor.encode(body) : new byte[0]);
        }
    }
}
