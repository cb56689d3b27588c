package org.woadloom.protocol;

/**
 * Thrown for a message that violates the protocol. The text names the field and what was expected.
 */
public final class MalformedMessageException extends Exception {
    public MalformedMessageException(String message) {
        super(message);
    }
}
