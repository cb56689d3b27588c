package org.woadloom.cli;

/** An invalid command line. The message names the word and what was expected. */
final class UsageException extends Exception {
    UsageException(String message) {
        super(message);
    }
}
