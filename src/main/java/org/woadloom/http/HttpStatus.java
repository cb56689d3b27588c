package org.woadloom.http;

/** The status codes that this service answers with. */
final class HttpStatus {
    static final int OK = 200;
    static final int CREATED = 201;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;

    /** Another node leads; the body names it. */
    static final int MISDIRECTED_REQUEST = 421;

    /** The request is well-formed and can never be carried out. */
    static final int UNPROCESSABLE_CONTENT = 422;

    static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}
}
