package org.woadloom.http;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.woadloom.protocol.Cbor;

/**
 * An answer to an HTTP request.
 *
 * @param retryAfterSeconds the {@code Retry-After} header in seconds; 0 for none
 */
public record Response(int status, byte[] body, String contentType, int retryAfterSeconds) {
    private static final String CBOR = "application/cbor";
    private static final String JSON = "application/json";
    private static final String PLAIN_TEXT = "text/plain";
    private static final String ERROR_FIELD = "error";
    private static final int NO_RETRY_AFTER = 0;
    private static final int RETRY_AFTER_SECONDS = 1;

    public static Response of(int status, Map<String, Object> body) {
        return cbor(status, Cbor.encode(body));
    }

    /** A body that is CBOR already. */
    public static Response cbor(int status, byte[] body) {
        return new Response(status, body, CBOR, NO_RETRY_AFTER);
    }

    public static Response error(int status, String text) {
        return of(status, ImmutableMap.of(ERROR_FIELD, text));
    }

    public static Response json(Map<String, Object> body) {
        return plain(Cbor.toJson(body), JSON);
    }

    public static Response text(String text) {
        return plain(text, PLAIN_TEXT);
    }

    /** The service can't answer now; the sender is told when to retry. */
    public static Response unavailable(String reason) {
        return new Response(
                HttpStatus.SERVICE_UNAVAILABLE,
                Cbor.encode(ImmutableMap.of(ERROR_FIELD, reason)),
                CBOR,
                RETRY_AFTER_SECONDS);
    }

    private static Response plain(String text, String contentType) {
        return new Response(
                HttpStatus.OK, text.getBytes(StandardCharsets.UTF_8), contentType, NO_RETRY_AFTER);
    }
}
