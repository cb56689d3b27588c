package org.woadloom.peer;

/** The bytes received on the peer port are not a message, or not one that may come there. */
public final class PeerFormatException extends Exception {
    PeerFormatException(String message) {
        super(message);
    }
}
