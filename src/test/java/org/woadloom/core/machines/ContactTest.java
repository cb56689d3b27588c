package org.woadloom.core.machines;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.woadloom.core.CoreFixture;

class ContactTest {
    private final CoreFixture fixture = new CoreFixture();

    /** How many of so many silent machines are spoken to at once. */
    private long probed(int machines) {
        for (int i = 0; i < machines; i++) {
            fixture.machine(String.format("host-%06d", i), "a").addr = "a:1";
        }
        fixture.world.nowMicros += 30_000_000;
        new Contact(fixture.world, new Losses(fixture.world)).review();
        return fixture.world.machines.values().stream().filter(Machine::greetingDue).count();
    }

    @Test
    void aSmallFleetIsProbedAFewAtATime() {
        assertEquals(16, probed(1_000));
    }

    @Test
    void aLargeFleetIsProbedInProportion() {
        assertEquals(62, probed(4_000));
    }
}
