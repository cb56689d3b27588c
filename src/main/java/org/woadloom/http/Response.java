package org.woadloom.http;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.woadloom.protocol.Cbor;

/** An answer to a request. */
public record Response(int status, byte[] body, String contentType, int retryAfterS) {
    private static final String CBOR = "application/cbor";

    public static Response of(int status, Map<String, Object> body) {
        return new Response(status, Cbor.encode(body), CBOR, 0);
    }

    /** A body that is CBOR already. */
    public static Response cbor(int status, byte[] body) {
        return new Response(status, body, CBOR, 0);
    }

    public static Response error(int status, String text) {
        return of(status, ImmutableMap.of("error", text));
    }

    public static Response json(Map<String, Object> body) {
        return new Response(
                200, Cbor.toJson(body).getBytes(StandardCharsets.UTF_8), "application/json", 0);
    }

    public static Response text(String text) {
        return new Response(200, text.getBytes(StandardCharsets.UTF_8), "text/plain", 0);
    }

    /** The service can't answer now; the sender is told when to come back. */
    public static Response unavailable(String why) {
        return new Response(503, Cbor.encode(ImmutableMap.of("error", why)), CBOR, 1);
    }
}
