package org.woadloom.core.machines;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;

class AgentProberTest {
    private final SchedulerFixture fixture = new SchedulerFixture();

    /** Returns how many of the given number of silent machines one review probes. */
    private long countProbed(int machines) {
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
    void probesAtMostSixteenMachinesAtATimeInASmallFleet() {
        assertEquals(16, countProbed(1_000));
    }

    @Test
    void probesOnePerSixtyFourMachinesAtATimeInALargeFleet() {
        assertEquals(62, countProbed(4_000));
    }
}
