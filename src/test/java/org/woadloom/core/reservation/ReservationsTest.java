package org.woadloom.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.placement.Resources;
import org.woadloom.core.reservation.Reservation.Phase;

/**
 * The cases of Koordinator's resource reservation proposal (see docs/design.md), on machines of 16
 * CPUs and 32 GB.
 */
class ReservationsTest {
    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Reservations reservations = new Reservations(fixture.state);
    private final Machine machine = fixture.machine("host-1", "a");

    private static Resources amount(double cpus, double gb) {
        return new Resources((long) (cpus * 1000), 0, (long) (gb * 1000));
    }

    @Test
    void reservedResourcesAreAvailableOnlyToOwner() {
        Job owner = fixture.job("j-1", 4, 4, 1);
        Job other = fixture.job("j-2", 4, 4, 1);
        assertEquals(
                Phase.AVAILABLE,
                reservations.reserve(owner, machine, amount(4, 4), true, false).phase());
        assertEquals(amount(12, 28), reservations.unreserved(machine, other));
        assertEquals(amount(16, 32), reservations.unreserved(machine, owner));
        assertNull(reservations.bestMatch(other, machine));
    }

    @Test
    void allocateOnceReservationEndsWhenFirstTaskIsPlacedEvenIfResourcesAreLeft() {
        Job owner = fixture.job("j-1", 2, 2, 2);
        Reservation reservation = reservations.reserve(owner, machine, amount(4, 4), true, false);
        fixture.place(reservations, owner, 0, machine);
        assertEquals(Phase.SUCCEEDED, reservation.phase());
        assertEquals(amount(14, 30), reservations.unreserved(machine, fixture.job("j-2", 2, 2, 1)));
        assertEquals(amount(2, 2), owner.teamQuota.used());
    }

    @Test
    void taskLargerThanReservationTakesTheRestFromTheMachine() {
        Job owner = fixture.job("j-1", 6, 1, 1);
        Reservation reservation = reservations.reserve(owner, machine, amount(4, 0), true, false);
        fixture.place(reservations, owner, 0, machine);
        assertEquals(amount(4, 0), reservation.allocated());
        assertEquals(amount(10, 31), machine.free());
    }

    @Test
    void reusableReservationServesTasksUntilUsedUp() {
        Job owner = fixture.job("j-1", 4, 0, 2);
        Reservation reservation = reservations.reserve(owner, machine, amount(8, 0), false, false);
        fixture.place(reservations, owner, 0, machine);
        assertEquals(Phase.AVAILABLE, reservation.phase());
        assertEquals(amount(4, 0), reservation.remaining());
        fixture.place(reservations, owner, 1, machine);
        assertEquals(Phase.SUCCEEDED, reservation.phase());
        assertEquals(amount(8, 0), owner.teamQuota.used());
    }

    @Test
    void secondTaskTakesReservationRemainderThenMachineResources() {
        Job owner = fixture.job("j-1", 4, 0, 2);
        Reservation reservation = reservations.reserve(owner, machine, amount(6, 0), false, false);
        fixture.place(reservations, owner, 0, machine);
        fixture.place(reservations, owner, 1, machine);
        assertEquals(amount(6, 0), reservation.allocated());
        assertEquals(amount(8, 32), machine.free());
    }

    @Test
    void secondReusableReservationOfOwnerOnMachineIsRefused() {
        Job owner = fixture.job("j-1", 2, 0, 4);
        assertNotNull(reservations.reserve(owner, machine, amount(4, 0), false, false));
        assertNull(reservations.reserve(owner, machine, amount(4, 0), false, false));
    }

    @Test
    void bestMatchIsReservationThatCoversMost() {
        Job owner = fixture.job("j-1", 4, 0, 2);
        reservations.reserve(owner, machine, amount(1, 0), true, false);
        Reservation larger = reservations.reserve(owner, machine, amount(3, 0), true, false);
        assertEquals(larger, reservations.bestMatch(owner, machine));
    }

    @Test
    void preAllocatedReservationBecomesAvailableWhenResourcesAreFreed() {
        Job running = fixture.job("j-1", 16, 0, 1);
        var attempt = fixture.place(reservations, running, 0, machine);
        Job owner = fixture.job("j-2", 8, 0, 1);
        assertNull(reservations.reserve(owner, machine, amount(8, 0), true, false));
        Reservation waiting = reservations.reserve(owner, machine, amount(8, 0), true, true);
        assertEquals(Phase.WAITING, waiting.phase());
        assertNull(reservations.bestMatch(owner, machine));
        running.removeAttempt(attempt);
        reservations.updatePhases();
        assertEquals(Phase.AVAILABLE, waiting.phase());
    }

    @Test
    void reservationExpiresUnlessRenewed() {
        Job owner = fixture.job("j-1", 4, 0, 2);
        Reservation renewed = reservations.reserve(owner, machine, amount(4, 0), true, false);
        Reservation expired = reservations.reserve(owner, machine, amount(4, 0), true, false);
        fixture.advance(40_000_000);
        reservations.renew(renewed);
        fixture.advance(30_000_000);
        assertEquals(java.util.List.of(expired), reservations.updatePhases());
        assertEquals(Phase.FAILED, expired.phase());
        assertEquals(Phase.AVAILABLE, renewed.phase());
        assertEquals(amount(4, 0), owner.teamQuota.used());
    }

    @Test
    void reservationFailsWhenMachineIsDecommissioned() {
        Job owner = fixture.job("j-1", 4, 0, 1);
        Reservation reservation = reservations.reserve(owner, machine, amount(4, 0), true, false);
        machine.decommission();
        assertEquals(java.util.List.of(reservation), reservations.updatePhases());
        assertEquals(Resources.NONE, owner.teamQuota.used());
    }

    @Test
    void reservedResourcesCountAgainstTeamLimit() {
        Job owner = fixture.job("j-1", 16, 0, 2);
        assertNotNull(reservations.reserve(owner, machine, amount(16, 0), true, true));
        Machine second = fixture.machine("host-2", "a");
        assertNull(reservations.reserve(owner, second, amount(16, 0), true, true));
    }
}
