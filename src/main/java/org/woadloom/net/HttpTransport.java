package org.woadloom.net;

/** Sends requests to other hosts. Every request gets exactly one answer, on the loop. */
public interface HttpTransport {
    /**
     * The status given when no response came: the request may have been executed, or may be later.
     */
    int NO_RESPONSE = 0;

    /** The status given when the request was certainly never sent. */
    int NOT_SENT = -1;

    /**
     * The answer to a request: an HTTP status with its body, or one of the two constants with an
     * empty body.
     */
    @FunctionalInterface
    interface Callback {
        void onResponse(int status, byte[] body);
    }

    /**
     * Sends a request.
     *
     * @param address host and port
     * @param body null for a request without one
     * @param timeoutMicros after which the callback gets one of the two constants
     */
    void request(
            String address,
            String method,
            String path,
            byte[] body,
            long timeoutMicros,
            Callback callback);
}
