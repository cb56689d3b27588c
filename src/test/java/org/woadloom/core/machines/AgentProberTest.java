package org.woadloom.core.machines;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;

class AgentProberTest {
    private final SchedulerFixture fixture = new SchedulerFixture();

    /** How many of so many silent machines are spoken to at once. */
    private long probed(int machines) {
        for (int i = 0; i < machines; i++) {
            fixture.machine(String.format("host-%06d", i), "a").setAddress("a:1");
        }
        fixture.advance(30_000_000);
        new AgentProber(fixture.state, new TaskLossHandler(fixture.state)).review();
        return fixture.state.machines().values().stream()
                .filter(machine -> machine.commands.isTokenRequested())
                .count();
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
