package org.woadloom.sim;

/** Thrown when a rule of the protocol is broken; it ends the simulation. */
final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final ProtocolRule rule;

    InvariantViolation(ProtocolRule rule, String details) {
        super(rule.id() + ": " + details);
        this.rule = rule;
    }

    ProtocolRule rule() {
        return rule;
    }
}
