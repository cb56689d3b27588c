package org.woadloom.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.machines.TaskLossHandler;
import org.woadloom.core.reservation.Reservations;

/** The reasons reported for a waiting job of a team that is limited to 24 CPUs. */
class WaitingJobsReportTest {
    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Reservations reservations = new Reservations(fixture.state);
    private final WaitingJobsReport report =
            new WaitingJobsReport(
                    fixture.state, new PlacementConstraints(fixture.state), reservations);

    @Test
    void reasonIsMissingOrFullMachinesWhenTheQuotaAllowsTheTask() {
        Job job = fixture.job("j-1", 12, 1, 1);
        assertEquals(PendingReason.NO_MACHINE, report.reason(job));
        Machine machine = fixture.machine("host-1", "a");
        assertEquals(PendingReason.NONE, report.reason(job));
        fixture.place(reservations, fixture.job("j-2", 8, 1, 1), 0, machine);
        assertEquals(PendingReason.NO_FREE_MACHINE, report.reason(job));
    }

    @Test
    void reasonIsTheTeamLimitOrItsHoldForLostTasks() {
        Machine first = fixture.machine("host-1", "a");
        Machine second = fixture.machine("host-2", "a");
        Job large = fixture.job("j-large", 8, 1, 3);
        fixture.place(reservations, large, 0, first);
        fixture.place(reservations, large, 1, first);
        var lost = fixture.place(reservations, large, 2, second);
        Job waiting = fixture.job("j-waiting", 2, 1, 1);
        assertEquals(PendingReason.TEAM_LIMIT, report.reason(waiting));
        new TaskLossHandler(fixture.state).onLost(lost, "lease expired");
        assertEquals(PendingReason.HELD_FOR_LOST_TASKS, report.reason(waiting));
    }

    @Test
    void logsLongWaitingJobsOncePerInterval() {
        Machine machine = fixture.machine("host-1", "a");
        Job full = fixture.job("j-full", 12, 1, 2);
        fixture.place(reservations, full, 0, machine);
        fixture.place(reservations, full, 1, machine);
        fixture.job("j-waiting", 2, 1, 3);
        report.logIfDue();
        assertFalse(fixture.logged(LogEvent.TASKS_PENDING));
        fixture.advance(40_000_000);
        report.logIfDue();
        assertTrue(
                fixture.logged(
                        LogEvent.TASKS_PENDING,
                        "job=j-waiting",
                        "reason=team_limit",
                        "waited_s=40",
                        "last_placed_job=j-full"));
        fixture.advance(10_000_000);
        report.logIfDue();
        assertFalse(fixture.logged(LogEvent.TASKS_PENDING));
    }
}
