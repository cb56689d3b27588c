package org.woadloom.http;

import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;

/** The limit for the size of request bodies, which the protocol counts in their JSON form. */
final class RequestSizeLimit {
    /** The largest body that is accepted, in bytes as JSON. */
    private static final int MAX_JSON_BYTES = 64 * 1024;

    /**
     * The largest body that is read, in bytes as CBOR. An item of a list, such as a number of one
     * digit and its comma, takes at least two bytes in JSON and at most nine in CBOR.
     */
    static final int MAX_READ_BYTES = MAX_JSON_BYTES * 5;

    private RequestSizeLimit() {}

    /** Whether the body is too large; false for a malformed one, whose reader gives the reason. */
    static boolean isExceededBy(byte[] body) {
        if (body.length <= MAX_JSON_BYTES) {
            return false;
        }
        try {
            return Cbor.jsonSize(body) > MAX_JSON_BYTES;
        } catch (MalformedMessageException e) {
            return false;
        }
    }
}
