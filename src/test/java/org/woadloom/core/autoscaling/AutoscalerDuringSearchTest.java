package org.woadloom.core.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.machines.MachineRegistry;
import org.woadloom.core.machines.TaskLossHandler;
import org.woadloom.core.placement.PlacementConstraints;
import org.woadloom.core.placement.TaskPlacer;
import org.woadloom.core.reservation.Reservations;

/** Reviews while a search for placements takes many steps, and one of six machines is silent. */
class AutoscalerDuringSearchTest {
    private static final long SECOND = 1_000_000;
    private static final int OTHERS = 5;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Reservations reservations = new Reservations(fixture.state);
    private final PlacementConstraints constraints = new PlacementConstraints(fixture.state);
    private final Autoscaler autoscaler =
            new Autoscaler(
                    fixture.state,
                    constraints,
                    new TaskPlacer(fixture.state, constraints, reservations),
                    new MachineRegistry(fixture.state, new TaskLossHandler(fixture.state)),
                    reservations);

    /** Guards against hung machines that keep their tasks until a long search ends. */
    @Test
    void incompleteSearchDecommissionsLostMachineButRentsAndReturnsNothing() {
        Machine silent = fixture.machine("host-silent", "a");
        fixture.place(reservations, fixture.job("j-1", 8, 1, 9), 0, silent);
        List<Machine> others = new ArrayList<>();
        for (int i = 0; i < OTHERS; i++) {
            others.add(fixture.machine("host-" + i, "a"));
        }
        for (int second = 0; second < 300; second++) {
            fixture.advance(SECOND);
            for (Machine machine : others) {
                fixture.receiveHeartbeat(machine, second + 2, machine.liveness.issueToken(0));
            }
            autoscaler.review(false);
        }
        List<String> decommissioned =
                fixture.state.machines().values().stream()
                        .filter(Machine::isDecommissioning)
                        .map(machine -> machine.host)
                        .toList();
        assertEquals(List.of("host-silent"), decommissioned);
        assertEquals(
                List.of(),
                fixture.actions().stream()
                        .filter(SchedulerAction.RentMachines.class::isInstance)
                        .toList());
    }
}
