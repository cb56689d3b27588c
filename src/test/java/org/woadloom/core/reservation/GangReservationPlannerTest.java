package org.woadloom.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.PlacementConstraints;

class GangReservationPlannerTest {
    private static final long SECOND = 1_000_000;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Reservations reservations = new Reservations(fixture.state);
    private final GangReservationPlanner planner =
            new GangReservationPlanner(
                    fixture.state, new PlacementConstraints(fixture.state), reservations);

    /**
     * Guards against reservations that expire while a placement search of a large cluster spans
     * many steps: only {@code maintain} is called until the search is complete.
     */
    @Test
    void reservationIsRenewedWhilePlacementSearchIsIncomplete() {
        fixture.machine("host-1", "a");
        Job large = fixture.job("j-large", 16, 1, 1);
        planner.reserve(List.of(large));
        assertEquals(1, reservations.countFor(large));
        for (int second = 0; second < 100; second++) {
            fixture.advance(SECOND);
            planner.maintain(reservations.updatePhases());
        }
        assertEquals(1, reservations.countFor(large));
    }
}
