package org.woadloom.store;

import org.woadloom.net.HttpTransport;

/** One HTTP request to the store, from when it is asked for until it is answered or shed. */
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

    /** A read. */
    static StoreRequest get(String path, long timeoutMicros, HttpTransport.Callback callback) {
        return new StoreRequest("GET", path, null, 0, timeoutMicros, callback, null);
    }

    /** A request on a store lease, which changes no keys. */
    static StoreRequest post(String path, byte[] body, HttpTransport.Callback callback) {
        return transaction(path, body, 0, callback, null);
    }

    /**
     * @param changeCount how many changes of the store's rate of changes it takes
     * @param onOverdue run once if there is no answer after {@link
     *     StoreRequestPolicy#OVERDUE_MICROS}; null for nothing
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

    /** What to do when the answer is late, or null. */
    Runnable onOverdue() {
        return onOverdue;
    }

    /** Notes when it was asked for. */
    void onQueued(long nowMicros) {
        queuedMicros = nowMicros;
    }

    /** When it was asked for. */
    long queuedMicros() {
        return queuedMicros;
    }

    boolean isSent() {
        return isSent;
    }

    /** Sends the request; the given callback, not the request's own, gets the answer. */
    void send(HttpTransport transport, String address, HttpTransport.Callback onAnswer) {
        isSent = true;
        transport.request(address, method, path, body, timeoutMicros, onAnswer);
    }
}
