package org.woadloom.peer;

/** Bytes on the peer port that are no message. */
public final class PeerFormatException extends Exception {
    PeerFormatException(String message) {
        super(message);
    }
}
