package org.woadloom.http;

/** The HTTP status codes that a node answers with. */
final class HttpStatus {
    static final int OK = 200;
    static final int CREATED = 201;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;

    /** Another node is the leader; the body names it. */
    static final int MISDIRECTED_REQUEST = 421;

    /** The request is well-formed but can never succeed. */
    static final int UNPROCESSABLE_CONTENT = 422;

    static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}
}
