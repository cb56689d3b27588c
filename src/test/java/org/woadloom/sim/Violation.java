package org.woadloom.sim;

/** A rule was broken. */
final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1;

    Violation(String rule, String what) {
        super(rule + ": " + what);
    }
}
