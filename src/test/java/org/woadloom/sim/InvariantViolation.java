package org.woadloom.sim;

/** A rule was broken. */
final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolation(String rule, String what) {
        super(rule + ": " + what);
    }
}
