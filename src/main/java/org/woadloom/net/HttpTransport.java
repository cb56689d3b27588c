package org.woadloom.net;

/** Sends HTTP requests to other hosts. Every request gets exactly one answer, on the event loop. */
public interface HttpTransport {
    /**
     * Status if no response was received: the request may have been executed, or may still be
     * executed later.
     */
    int NO_RESPONSE = 0;

    /** Status if the request was definitely never sent. */
    int NOT_SENT = -1;

    /**
     * Receives the answer to a request: an HTTP status with its body, or {@link #NO_RESPONSE} or
     * {@link #NOT_SENT} with an empty body.
     */
    @FunctionalInterface
    interface Callback {
        void onResponse(int status, byte[] body);
    }

    /**
     * Sends a request.
     *
     * @param address host and port
     * @param body null for a request without a body
     * @param timeoutMicros time after which the callback gets {@link #NO_RESPONSE} or {@link
     *     #NOT_SENT}
     */
    void request(
            String address,
            String method,
            String path,
            byte[] body,
            long timeoutMicros,
            Callback callback);
}
