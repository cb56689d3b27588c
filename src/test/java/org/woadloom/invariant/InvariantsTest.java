package org.woadloom.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.woadloom.invariant.Invariants.Invariant;
import org.woadloom.invariant.Invariants.InvariantViolatedException;

class InvariantsTest {
    @Test
    void violationThrowsWhenTheThrowPropertyIsSet() {
        assertTrue(Invariants.holds(true, Invariant.ACCEPTED_JOB_KNOWN, "j-1"));
        assertThrows(
                InvariantViolatedException.class,
                () -> Invariants.holds(false, Invariant.ACCEPTED_JOB_KNOWN, "j-1"));
    }

    @Test
    void violationIsCountedAndReturnsFalseWhenTheThrowPropertyIsNotSet() {
        long before = Invariants.violations();
        System.clearProperty(Invariants.THROW_PROPERTY);
        try {
            assertFalse(Invariants.holds(false, Invariant.ACCEPTED_JOB_KNOWN, "j-1"));
        } finally {
            System.setProperty(Invariants.THROW_PROPERTY, "true");
        }
        assertEquals(before + 1, Invariants.violations());
    }
}
