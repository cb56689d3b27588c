package org.woadloom.http;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.woadloom.protocol.Cbor;

/**
 * A response to an HTTP request.
 *
 * @param retryAfterSeconds the {@code Retry-After} header in seconds; 0 for none
 */
public record Response(int status, byte[] body, String contentType, int retryAfterSeconds) {
    private static final String CBOR = "application/cbor";
    private static final String JSON = "application/json";
    private static final String PLAIN_TEXT = "text/plain";

    /** The field with the reason in the body of an error response. */
    static final String ERROR_FIELD = "error";

    private static final int NO_RETRY_AFTER = 0;
    private static final int RETRY_AFTER_SECONDS = 1;

    public static Response of(int status, Map<String, Object> body) {
        return cbor(status, Cbor.encode(body));
    }

    /** Creates a response from a body that is already encoded as CBOR. */
    public static Response cbor(int status, byte[] body) {
        return new Response(status, body, CBOR, NO_RETRY_AFTER);
    }

    public static Response error(int status, String text) {
        return of(status, ImmutableMap.of(ERROR_FIELD, text));
    }

    public static Response json(Map<String, Object> body) {
        return ok(Cbor.toJson(body), JSON);
    }

    public static Response text(String text) {
        return ok(text, PLAIN_TEXT);
    }

    /** Creates a 503 response with a {@code Retry-After} header. */
    public static Response unavailable(String reason) {
        return new Response(
                HttpStatus.SERVICE_UNAVAILABLE,
                Cbor.encode(ImmutableMap.of(ERROR_FIELD, reason)),
                CBOR,
                RETRY_AFTER_SECONDS);
    }

    private static Response ok(String text, String contentType) {
        return new Response(
                HttpStatus.OK, text.getBytes(StandardCharsets.UTF_8), contentType, NO_RETRY_AFTER);
    }
}
