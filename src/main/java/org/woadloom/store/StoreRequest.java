package org.woadloom.store;

import org.woadloom.net.HttpTransport;

/** An HTTP request to the store, from its submission until it is answered or dropped. */
final class StoreRequest {
    private final String method;
    private final String path;
    private final byte[] body;
    private final int changeCount;
    private final long timeoutMicros;
    private final HttpTransport.Callback callback;
    private final Runnable onOverdue;
    private long queuedMicros;
    private boolean isSent;

    private StoreRequest(
            String method,
            String path,
            byte[] body,
            int changeCount,
            long timeoutMicros,
            HttpTransport.Callback callback,
            Runnable onOverdue) {
        this.method = method;
        this.path = path;
        this.body = body;
        this.changeCount = changeCount;
        this.timeoutMicros = timeoutMicros;
        this.callback = callback;
        this.onOverdue = onOverdue;
    }

    /** Creates a read. */
    static StoreRequest get(String path, long timeoutMicros, HttpTransport.Callback callback) {
        return new StoreRequest("GET", path, null, 0, timeoutMicros, callback, null);
    }

    /** Creates a request for a store lease, which changes no keys. */
    static StoreRequest post(String path, byte[] body, HttpTransport.Callback callback) {
        return transaction(path, body, 0, callback, null);
    }

    /**
     * Creates a transaction.
     *
     * @param changeCount number of changes that count against the store's rate of changes
     * @param onOverdue run once if there is no answer after {@link
     *     StoreRequestPolicy#OVERDUE_MICROS}, or null
     */
    static StoreRequest transaction(
            String path,
            byte[] body,
            int changeCount,
            HttpTransport.Callback callback,
            Runnable onOverdue) {
        return new StoreRequest(
                "POST",
                path,
                body,
                changeCount,
                StoreRequestPolicy.TIMEOUT_MICROS,
                callback,
                onOverdue);
    }

    int changeCount() {
        return changeCount;
    }

    HttpTransport.Callback callback() {
        return callback;
    }

    /** Returns the action for a late answer, or null. */
    Runnable onOverdue() {
        return onOverdue;
    }

    /** Records the time of submission. */
    void onQueued(long nowMicros) {
        queuedMicros = nowMicros;
    }

    /** Returns the time of submission. */
    long queuedMicros() {
        return queuedMicros;
    }

    boolean isSent() {
        return isSent;
    }

    /**
     * Sends the request. The answer goes to {@code onAnswer} instead of the request's own callback.
     */
    void send(HttpTransport transport, String address, HttpTransport.Callback onAnswer) {
        isSent = true;
        transport.request(address, method, path, body, timeoutMicros, onAnswer);
    }
}
