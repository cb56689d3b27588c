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
 * The autoscaler with a cloud that allows few calls per second. Two tasks of 8 CPUs fill a machine;
 * the team's limit is 200 CPUs.
 */
class AutoscalerTest {
    private final LeaderFixture leader = new LeaderFixture();

    private List<SchedulerAction.RentMachines> rentals() {
        return leader.actionsOfType(SchedulerAction.RentMachines.class);
    }

    /**
     * Guards against planning each job of a team against the whole limit. Each job alone is within
     * the limit; together the jobs once requested 150 machines, of which 12 could be used.
     */
    @Test
    void rentsNoMoreForAllJobsOfATeamThanItsLimitAllows() {
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
     * Guards against a wasted call: a second request for a kind fails if the pending one already
     * gets all that is left of the kind.
     */
    @Test
    void requestsAKindAgainOnlyAfterTheCloudHasAnswered() {
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
                "the cloud rented out fewer machines than requested, so no more of that kind are"
                        + " left");
    }

    /** A cloud that does not answer a request for one kind may answer one for another kind. */
    @Test
    void requestsAnotherKindWhenTheCloudDoesNotAnswer() {
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
     * Machines are decommissioned at different times. While a deletion is unanswered, the others
     * wait and then go into one call.
     */
    @Test
    void batchesDeletionsWhileOneIsInFlight() {
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

    /**
     * Guards against renting in a partitioned zone: the machines would boot in vain and count as
     * expected capacity.
     */
    @Test
    void rentsNothingInASilentZone() {
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
                "silent machines are kept, as they come back with their images");
        for (String host : List.of("host-000001", "host-000002")) {
            leader.sendHeartbeat(heartbeat(host, 2, 10, 0));
            leader.advance(100_000);
            leader.acknowledgeToken(host, 2, 11);
        }
        leader.advance(SECOND);
        assertTrue(leader.logged(LogEvent.ZONE_RECONNECTED, "zone=a"));
    }

    /**
     * Guards against a machine that was up under an earlier leader and is gone: it once counted as
     * expected capacity for four boot times.
     */
    @Test
    void replacesMachineThatWasUpAndDoesNotReportToTheNewLeader() {
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
        assertEquals(0, rentals().size(), "the machine may still report");
        leader.advance(2 * SECOND);
        assertEquals(1, rentals().size());
        leader.advance(25 * SECOND);
        assertEquals(
                List.of("host-000001"),
                leader.lastAction(SchedulerAction.DeleteMachines.class).hosts());
    }

    /**
     * A zone from which a new leader gets no heartbeats may be partitioned: nothing is rented
     * there, and its machines are kept because they may come back.
     */
    @Test
    void newLeaderRentsNothingInAZoneWithoutHeartbeats() {
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
     * The cloud's list lags, and may be older than the previous one, so a machine that it lacks may
     * still be running.
     */
    @Test
    void keepsReportingMachineAndItsTasksWhenTheListLacksIt() {
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

    private static ListedMachine listed(String host) {
        return new ListedMachine(host, host + ":9000", "m16", "a", false, "running", 100 * SECOND);
    }

    /**
     * Guards against counting a zone as partitioned for too long: after the cloud took three of a
     * zone's four machines without notice, no machine was rented there for 80 s.
     */
    @Test
    void deletesSilentUnlistedMachinesAndRentsInTheirZoneAgain() {
        List<ListedMachine> all = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            leader.bringUp("host-00000" + i, 1);
            all.add(listed("host-00000" + i));
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

    /**
     * Lists are up to two lags old and may be older than the previous one. A machine that reports
     * exists, whatever they contain.
     */
    @Test
    void keepsMachinesThatReportOrAreOnlyBrieflyUnlisted() {
        long token = leader.bringUp("host-000001", 1);
        leader.bringUp("host-000002", 1);
        leader.step(
                new SchedulerEvent.MachinesListed(
                        List.of(listed("host-000001"), listed("host-000002"))));
        for (int s = 0; s < 30; s++) {
            leader.sendHeartbeat(heartbeat("host-000001", 1, 10 + s, token));
            leader.step(
                    new SchedulerEvent.MachinesListed(
                            s < 6 ? List.of() : List.of(listed("host-000002"))));
            leader.advanceWithoutAnswers(SECOND);
        }
        assertTrue(
                !leader.logged(
                        LogEvent.MACHINE_DECOMMISSIONED, "reason=\"silent and no longer listed\""));
    }

    /** A booting machine may be missing from the list for longer than the configured list lag. */
    @Test
    void keepsBootingMachineThatTheListLacks() {
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
