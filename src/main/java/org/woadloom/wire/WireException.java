package org.woadloom.wire;

/** A message that does not follow the protocol; the text names the field and what was expected. */
public final class WireException extends Exception {
    public WireException(String message) {
        super(message);
    }
}
