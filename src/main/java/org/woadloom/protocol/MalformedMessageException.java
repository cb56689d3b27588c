package org.woadloom.protocol;

/** A message that does not follow the protocol; the text names the field and what was expected. */
public final class MalformedMessageException extends Exception {
    public MalformedMessageException(String message) {
        super(message);
    }
}
