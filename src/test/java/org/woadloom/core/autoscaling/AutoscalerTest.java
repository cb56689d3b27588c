package org.woadloom.core.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.woadloom.core.LeaderFixture.SECOND;
import static org.woadloom.core.LeaderFixture.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.core.LeaderFixture;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.protocol.ListedMachine;
import org.woadloom.protocol.TaskStatus;
import org.woadloom.store.MachineRecord;

/**
 * A cloud that takes few calls a second: each has to count. Two tasks of 8 CPUs fill a machine; the
 * team's limit is 200.
 */
class AutoscalerTest {
    private final LeaderFixture leader = new LeaderFixture();

    private List<SchedulerAction.RentMachines> rentals() {
        return leader.actionsOfType(SchedulerAction.RentMachines.class);
    }

    /**
     * Each job alone is within what the limit leaves; together they asked for 150 machines, of
     * which 12 could be used.
     */
    @Test
    void theJobsOfATeamTogetherRentNoMoreThanItsLimitAllows() {
        for (int i = 0; i < 12; i++) {
            leader.submit("j-" + i, 25);
        }
        leader.advance(10 * SECOND);
        assertEquals(
                13,
                rentals().stream().mapToInt(SchedulerAction.RentMachines::count).sum(),
                "25 tasks of 8 CPUs");
    }

    /**
     * What is asked for while the answer is under way would be asked for in vain where there are no
     * more.
     */
    @Test
    void aKindIsNotAskedForAgainBeforeItsAnswer() {
        leader.submit("j-1", 10);
        leader.advance(5 * SECOND);
        assertEquals(1, rentals().size());
        leader.submit("j-2", 10);
        leader.advance(SECOND);
        assertEquals(1, rentals().size());
        SchedulerAction.RentMachines first = rentals().get(0);
        leader.step(
                new SchedulerEvent.ScaleOutCompleted(
                        first.requestName(),
                        SchedulerEvent.ScaleOutOutcome.RENTED,
                        List.of("host-1", "host-2")));
        leader.advance(SECOND);
        assertEquals(2, rentals().size());
        SchedulerAction.RentMachines second = rentals().get(1);
        assertTrue(
                !second.zone().equals(first.zone()) || second.spot() != first.spot(),
                "it gave less than was asked for, so there are no more of that kind");
    }

    /** A cloud that does not answer for one kind may answer for another. */
    @Test
    void anotherKindIsAskedForWhereNoAnswerComes() {
        leader.submit("j-1", 10);
        leader.advance(4 * SECOND);
        leader.submit("j-2", 10);
        leader.advance(4 * SECOND);
        assertEquals(2, rentals().size());
        assertTrue(
                !rentals().get(0).zone().equals(rentals().get(1).zone())
                        || rentals().get(0).spot() != rentals().get(1).spot());
    }

    /**
     * Machines are given up at different times, and go in one call as long as the one before has no
     * answer.
     */
    @Test
    void deletionsGatherWhileOneIsUnderWay() {
        for (int i = 0; i < 6; i++) {
            leader.bringUp("host-00000" + i, 1);
            leader.advance(SECOND);
        }
        leader.advanceWithoutAnswers(100 * SECOND);
        List<SchedulerAction.DeleteMachines> deletions =
                leader.actionsOfType(SchedulerAction.DeleteMachines.class);
        assertEquals(1, deletions.size(), "none was answered");
        leader.step(new SchedulerEvent.MachineDeletionCompleted(deletions.get(0).hosts(), true));
        leader.advance(SECOND);
        assertEquals(5, leader.lastAction(SchedulerAction.DeleteMachines.class).hosts().size());
    }

    /** What is rented in a zone that is cut off boots for nothing, and would count as coming. */
    @Test
    void nothingIsRentedInAZoneThatHasGoneSilent() {
        for (int i = 0; i < 4; i++) {
            leader.bringUp("host-00000" + i, 1);
        }
        leader.advanceWithoutAnswers(8 * SECOND);
        assertTrue(leader.logged(LogEvent.ZONE_PARTITIONED, "zone=a", "silent=4", "machines=4"));
        leader.submit("j-1", 10);
        leader.advanceWithoutAnswers(30 * SECOND);
        assertTrue(rentals().size() > 0);
        assertTrue(rentals().stream().allMatch(rent -> rent.zone().equals("b")));
        assertEquals(
                List.of(),
                leader.actionsOfType(SchedulerAction.DeleteMachines.class),
                "they come back with their images");
        for (String host : List.of("host-000001", "host-000002")) {
            leader.sendHeartbeat(heartbeat(host, 2, 10, 0));
            leader.advance(100_000);
            leader.acknowledgeToken(host, 2, 11);
        }
        leader.advance(SECOND);
        assertTrue(leader.logged(LogEvent.ZONE_RECONNECTED, "zone=a"));
    }

    /**
     * It was up under an earlier leader and is gone: for four boot times it used to count as room
     * that comes.
     */
    @Test
    void whatWasUpAndDoesNotFindTheNewLeaderIsNotWaitedFor() {
        leader.step(
                new SchedulerEvent.LeadershipAcquired(
                        LeaderFixture.TERM + 1,
                        List.of(),
                        List.of(
                                new SchedulerEvent.StoredMachine(
                                        new MachineRecord(
                                                "host-000001",
                                                "m16",
                                                "a",
                                                false,
                                                false,
                                                new MachineRecord.Lifecycle(
                                                        leader.nowMicros - 900 * SECOND, true)),
                                        50)),
                        leader.nowMicros));
        leader.submit("j-1", 2);
        leader.advance(10 * SECOND);
        assertEquals(0, rentals().size(), "it may come yet");
        leader.advance(2 * SECOND);
        assertEquals(1, rentals().size());
        leader.advance(25 * SECOND);
        assertEquals(
                List.of("host-000001"),
                leader.lastAction(SchedulerAction.DeleteMachines.class).hosts());
    }

    /**
     * A zone of which a new leader hears nothing may be cut off: nothing is rented there, and what
     * is there may come back.
     */
    @Test
    void aNewLeaderRentsNothingInAZoneOfWhichItHearsNothing() {
        List<SchedulerEvent.StoredMachine> stored = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            stored.add(
                    new SchedulerEvent.StoredMachine(
                            new MachineRecord(
                                    "host-00000" + i,
                                    "m16",
                                    "a",
                                    false,
                                    false,
                                    new MachineRecord.Lifecycle(
                                            leader.nowMicros - 900 * SECOND, true)),
                            50 + i));
        }
        leader.step(
                new SchedulerEvent.LeadershipAcquired(
                        LeaderFixture.TERM + 1, List.of(), stored, leader.nowMicros));
        leader.submit("j-1", 2);
        leader.advance(50 * SECOND);
        assertTrue(
                rentals().size() > 0
                        && rentals().stream().allMatch(rent -> rent.zone().equals("b")),
                "" + rentals());
        assertEquals(List.of(), leader.actionsOfType(SchedulerAction.DeleteMachines.class));
    }

    /**
     * The list lags, and may be older than the one before: machines that are missing in it are as
     * they were.
     */
    @Test
    void whatTheListLacksIsNotTakenForGone() {
        long token = leader.bringUp("host-000001", 1);
        leader.submit("j-1", 2);
        leader.advance(100_000);
        SchedulerAction.SendDirectCommand sent =
                leader.lastAction(SchedulerAction.SendDirectCommand.class);
        leader.answerLastDirectCommand(
                heartbeat(
                        "host-000001",
                        1,
                        5,
                        token,
                        sent.commands().stream()
                                .map(
                                        command ->
                                                new TaskStatus(
                                                        command.task(),
                                                        command.attempt(),
                                                        TaskStatus.State.RUNNING,
                                                        null,
                                                        false))
                                .toArray(TaskStatus[]::new)));
        for (int i = 0; i < 30; i++) {
            leader.step(new SchedulerEvent.MachinesListed(List.of()));
            leader.sendHeartbeat(
                    heartbeat(
                            "host-000001",
                            1,
                            6 + i,
                            token,
                            sent.commands().stream()
                                    .map(
                                            command ->
                                                    new TaskStatus(
                                                            command.task(),
                                                            command.attempt(),
                                                            TaskStatus.State.RUNNING,
                                                            null,
                                                            false))
                                    .toArray(TaskStatus[]::new)));
            leader.advance(SECOND);
        }
        assertEquals(2, sent.commands().size());
        assertTrue(
                !leader.logged(LogEvent.TASK_LOST)
                        && rentals().isEmpty()
                        && leader.actionsOfType(SchedulerAction.DeleteMachines.class).isEmpty());
    }

    private static ListedMachine item(String host) {
        return new ListedMachine(host, host + ":9000", "m16", "a", false, "running", 100 * SECOND);
    }

    /**
     * The cloud took three of a zone's four machines without notice: no rental there had to wait 80
     * s for that.
     */
    @Test
    void whatIsSilentAndNoLongerListedIsGivenUpAndDarkensNoZone() {
        List<ListedMachine> all = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            leader.bringUp("host-00000" + i, 1);
            all.add(item("host-00000" + i));
        }
        long token = leader.lastAction(SchedulerAction.SendDirectCommand.class).fencingToken();
        for (int s = 0; s < 14; s++) {
            leader.step(new SchedulerEvent.MachinesListed(s < 3 ? all : all.subList(3, 4)));
            leader.sendHeartbeat(heartbeat("host-000003", 1, 10 + s, token));
            leader.advanceWithoutAnswers(SECOND);
        }
        assertTrue(
                leader.logged(LogEvent.ZONE_PARTITIONED, "zone=a", "silent=3", "machines=4")
                        && leader.logged(LogEvent.ZONE_RECONNECTED, "zone=a"));
        assertEquals(
                List.of("host-000000", "host-000001", "host-000002"),
                leader.actionsOfType(SchedulerAction.DeleteMachines.class).stream()
                        .flatMap(delete -> delete.hosts().stream())
                        .distinct()
                        .sorted()
                        .toList());
        leader.submit("j-1", 10);
        leader.advanceWithoutAnswers(SECOND);
        assertTrue(rentals().stream().anyMatch(rent -> rent.zone().equals("a")), "" + rentals());
    }

    /** Lists are two lags old and may go back; one that answers is there whatever they show. */
    @Test
    void nothingIsGivenUpForBeingUnlistedTooSoonOrWhileItReports() {
        long token = leader.bringUp("host-000001", 1);
        leader.bringUp("host-000002", 1);
        leader.step(
                new SchedulerEvent.MachinesListed(
                        List.of(item("host-000001"), item("host-000002"))));
        for (int s = 0; s < 30; s++) {
            leader.sendHeartbeat(heartbeat("host-000001", 1, 10 + s, token));
            leader.step(
                    new SchedulerEvent.MachinesListed(
                            s < 6 ? List.of() : List.of(item("host-000002"))));
            leader.advanceWithoutAnswers(SECOND);
        }
        assertTrue(
                !leader.logged(
                        LogEvent.MACHINE_DECOMMISSIONED, "reason=\"silent and no longer listed\""));
    }

    /** A machine that boots may be new to the list for longer than lists are said to lag. */
    @Test
    void aMachineThatBootsIsNotGivenUpForBeingUnlisted() {
        leader.submit("j-1", 2);
        leader.advance(5 * SECOND);
        leader.step(
                new SchedulerEvent.ScaleOutCompleted(
                        rentals().get(0).requestName(),
                        SchedulerEvent.ScaleOutOutcome.RENTED,
                        List.of("host-000001")));
        for (int s = 0; s < 30; s++) {
            leader.step(new SchedulerEvent.MachinesListed(List.of()));
            leader.advance(SECOND);
        }
        assertTrue(
                leader.actionsOfType(SchedulerAction.DeleteMachines.class).isEmpty()
                        && rentals().size() == 1);
    }
}
