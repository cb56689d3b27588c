package org.woadloom.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.core.LeaderFixture;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.machines.TaskLossHandler;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskStatus;

/** A team at its limit of 24 CPUs loses a task of 8 while tasks of 1 CPU wait. */
class LostTaskHoldsTest {
    private static final long MAX_HOLD_MICROS = 60_000_000;
    private static final String HOST = "host-000001";

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Reservations reservations = new Reservations(fixture.state);
    private final TaskLossHandler losses = new TaskLossHandler(fixture.state);
    private final Machine machine = fixture.machine("host-1", "a");
    private final Machine other = fixture.machine("host-2", "a");
    private final Job large = fixture.job("j-large", 8, 1, 3);
    private final Job small = fixture.job("j-small", 1, 1, 40);
    private final TaskAttempt attempt = fixture.place(reservations, large, 0, machine);

    LostTaskHoldsTest() {
        fixture.place(reservations, large, 1, other);
        for (int i = 0; i < 8; i++) {
            fixture.place(reservations, small, i, other);
        }
    }

    private void expireHolds() {
        large.teamQuota.expireLostTaskHolds(fixture.state.nowMicros(), reservations::countFor);
    }

    /** Guards against a lost task that waited 109 s because newer, smaller tasks took its quota. */
    @Test
    void quotaOfLostTaskIsNotGivenToSmallerTasks() {
        losses.onLost(attempt, "lease expired");
        expireHolds();
        assertEquals(0, small.allowedTasks());
        assertEquals(1, large.allowedTasks());
        fixture.place(reservations, large, 0, other);
        assertEquals(0, large.allowedTasks());
        assertEquals(0, small.allowedTasks());
    }

    @Test
    void quotaTurnOfOtherJobDoesNotDelayLostTask() {
        Job waiting = fixture.job("j-turn", 8, 1, 1);
        losses.onLost(attempt, "lease expired");
        large.teamQuota.setTurn(waiting, waiting.taskResources);
        expireHolds();
        assertEquals(0, waiting.allowedTasks());
        assertEquals(1, large.allowedTasks());
    }

    @Test
    void holdExpiresIfLostTaskIsNotPlaced() {
        losses.onLost(attempt, "lease expired");
        fixture.advance(MAX_HOLD_MICROS + 1);
        expireHolds();
        assertEquals(8, small.allowedTasks());
    }

    /**
     * The team's limit allows two tasks, and both of j-1 run. The first exits for the given reason;
     * returns whether the task of j-2 is then placed.
     */
    private static boolean isNextJobPlacedAfterExit(TaskStatus.ExitReason reason) {
        LeaderFixture leader = new LeaderFixture(16, List.of(), HOST);
        leader.bringUp(HOST, 1);
        leader.submit("j-1", 2);
        leader.submit("j-2", 1);
        SchedulerAction.SendDirectCommand sent =
                leader.lastAction(SchedulerAction.SendDirectCommand.class);
        TaskStatus[] tasks =
                sent.commands().stream()
                        .map(command -> status(command, TaskStatus.State.RUNNING, null))
                        .toArray(TaskStatus[]::new);
        leader.answerLastDirectCommand(
                LeaderFixture.heartbeat(HOST, 1, 3, sent.fencingToken(), tasks));
        tasks[0] = status(sent.commands().get(0), TaskStatus.State.EXITED, reason);
        leader.sendHeartbeat(LeaderFixture.heartbeat(HOST, 1, 4, sent.fencingToken(), tasks));
        return leader.logged(LogEvent.TASKS_PLACED, "job=j-2");
    }

    private static TaskStatus status(
            TaskCommand command, TaskStatus.State state, TaskStatus.ExitReason reason) {
        return new TaskStatus(command.task(), command.attempt(), state, reason, false);
    }

    /** Otherwise a job that fails repeatedly would keep quota from the rest of its team. */
    @Test
    void quotaOfFailedTaskIsNotHeld() {
        assertTrue(isNextJobPlacedAfterExit(TaskStatus.ExitReason.ERROR));
        assertFalse(isNextJobPlacedAfterExit(TaskStatus.ExitReason.STOPPED));
    }

    @Test
    void lostTaskWithReservationCountsOnce() {
        losses.onLost(attempt, "lease expired");
        small.removeAttempt(small.attempt(0));
        reservations.reserve(large, machine, large.taskResources, true, true);
        expireHolds();
        assertEquals(1, small.allowedTasks());
    }

    @Test
    void completedTaskHoldsNoQuotaWhenItsAttemptIsLost() {
        large.markCompleted(0);
        losses.onLost(attempt, "lease expired");
        expireHolds();
        assertEquals(8, small.allowedTasks());
    }
}
