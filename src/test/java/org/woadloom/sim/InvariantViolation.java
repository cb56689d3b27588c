package org.woadloom.sim;

/** Thrown where the simulation breaks one of the protocol's rules; ends the run. */
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
