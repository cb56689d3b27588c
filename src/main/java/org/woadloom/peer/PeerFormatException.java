package org.woadloom.peer;

/**
 * Thrown if bytes received on the peer port are not a message, or not a message that is allowed at
 * that point.
 */
public final class PeerFormatException extends Exception {
    PeerFormatException(String message) {
        super(message);
    }
}
