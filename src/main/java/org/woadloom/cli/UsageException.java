package org.woadloom.cli;

/** The command line asks for something that is not there. */
final class UsageException extends Exception {
    UsageException(String message) {
        super(message);
    }
}
