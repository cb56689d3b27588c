package org.woadloom.core.liveness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.woadloom.core.LeaderFixture.SECOND;
import static org.woadloom.core.LeaderFixture.TERM;
import static org.woadloom.core.LeaderFixture.message;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadloom.core.LeaderFixture;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/**
 * Heartbeats that arrive late, when their agent has sent newer ones or is gone, and agents that
 * send heartbeats while nothing reaches them.
 */
class DelayedHeartbeatsTest {
    private static final String HOST = "host-000001";

    private final LeaderFixture leader = new LeaderFixture(HOST);

    private static TaskStatus running(SchedulerAction.SendDirectCommand sent) {
        TaskCommand launch = sent.commands().get(0);
        return new TaskStatus(
                launch.task(), launch.attempt(), TaskStatus.State.RUNNING, null, false);
    }

    private int startCommandCount() {
        return (int)
                        leader.all(SchedulerAction.SendDirectCommand.class).stream()
                                .flatMap(sent -> sent.commands().stream())
                                .filter(command -> command.action() == TaskCommand.Action.START)
                                .count()
                + (int)
                        leader.all(SchedulerAction.AnswerHeartbeat.class).stream()
                                .flatMap(answer -> answer.commands().stream())
                                .filter(command -> command.action() == TaskCommand.Action.START)
                                .count();
    }

    /**
     * A late heartbeat may name a machine that was deleted and removed from the registry, or that
     * was gone before this term began. It alone must not add the machine.
     */
    @Test
    void lateHeartbeatOfAnUnknownMachineDoesNotAddIt() {
        String unknownHost = "host-000009";
        leader.report(message(unknownHost, 1, 10, 0));
        leader.unanswered();
        leader.pass(20 * SECOND);
        assertEquals(List.of(), leader.all(SchedulerAction.WriteMachine.class));
        leader.submit("j-000001", 2);
        leader.pass(2 * SECOND);
        assertEquals(0, startCommandCount());
        assertEquals(List.of(), leader.all(SchedulerAction.DeleteMachines.class));
    }

    /** An unknown machine that responds to a command exists and costs money, so it is added. */
    @Test
    void unknownMachineThatRespondsIsAdded() {
        leader.isUp("host-000009", 10);
        assertEquals(
                "host-000009", leader.last(SchedulerAction.WriteMachine.class).record().host());
    }

    /**
     * The agent sent a heartbeat with a token of this term and fell silent. The original of its
     * next heartbeat is lost, and a copy arrives late.
     */
    @ParameterizedTest
    @ValueSource(longs = {4, 20})
    void silentAgentGetsNoTasksOnALateHeartbeat(long lateS) {
        long token = leader.isUp(HOST, 1);
        leader.report(message(HOST, 1, 3, token));
        leader.passUnanswered(lateS * SECOND);
        leader.pass(2 * SECOND);
        leader.unanswered();
        leader.pass(2 * SECOND);
        leader.report(message(HOST, 1, 4, token));
        assertFalse(
                leader.logged(LogEvent.MACHINE_UNREACHABLE),
                "a silent agent must not be reported as unreachable");
        leader.submit("j-000001", 2);
        leader.pass(1 * SECOND);
        assertEquals(0, startCommandCount());
        // The agent turns out to be alive, in a new incarnation if its lease has expired meanwhile.
        long incarnation = lateS > 10 ? 2 : 1;
        leader.report(message(HOST, incarnation, 5, token));
        SchedulerAction.SendDirectCommand probe =
                leader.last(SchedulerAction.SendDirectCommand.class);
        assertTrue(probe.fencingToken() > token, "the probe must carry a new token");
        leader.answered(message(HOST, incarnation, 6, probe.fencingToken()));
        leader.greeted(HOST, incarnation, 7);
        leader.report(message(HOST, incarnation, 8, probe.fencingToken()));
        leader.pass(SECOND);
        assertEquals(2, startCommandCount());
    }

    /**
     * A heartbeat that is a minute late arrives after the machine was given up: the deletion must
     * not be repeated or revoked.
     */
    @Test
    void lateHeartbeatDoesNotRevokeADeletion() {
        long token = leader.isUp(HOST, 1);
        leader.report(message(HOST, 1, 3, token));
        leader.passUnanswered(60 * SECOND);
        assertEquals(List.of(HOST), leader.last(SchedulerAction.DeleteMachines.class).hosts());
        leader.report(message(HOST, 1, 4, token));
        leader.step(new SchedulerEvent.MachineDeletionCompleted(List.of(HOST), true));
        leader.report(message(HOST, 1, 5, token));
        leader.submit("j-000001", 2);
        leader.pass(2 * SECOND);
        assertEquals(0, startCommandCount());
        assertEquals(1, leader.all(SchedulerAction.DeleteMachines.class).size());
    }

    /**
     * The first response of a new leader renews the agent's lease, so it must stop tasks that are
     * not to run; it starts none.
     */
    @Test
    void firstResponseOfANewLeaderStopsAnUnknownTask() {
        TaskStatus unknownTask =
                new TaskStatus(new TaskId("j-000077", 0), 3, TaskStatus.State.RUNNING, null, false);
        SchedulerAction.AnswerHeartbeat first = leader.report(message(HOST, 1, 10, 0, unknownTask));
        assertEquals(List.of(TaskCommand.stop(unknownTask.task(), 3, 0)), first.commands());
    }

    /**
     * Responses to duplicates reach no agent, so they cannot have renewed a lease and must not
     * postpone its expiry.
     */
    @Test
    void duplicateHeartbeatsDoNotPostponeLeaseExpiry() {
        long token = leader.isUp(HOST, 1);
        leader.submit("j-000001", 1);
        leader.pass(100_000);
        Heartbeat last =
                message(
                        HOST,
                        1,
                        4,
                        token,
                        running(leader.last(SchedulerAction.SendDirectCommand.class)));
        leader.answered(message(HOST, 1, 3, token));
        leader.report(last);
        for (int i = 0; i < 16; i++) {
            leader.pass(SECOND);
            leader.report(last);
            leader.report(message(HOST, 1, 2, token));
        }
        assertTrue(
                leader.logged(LogEvent.LEASE_EXPIRED, "machine=" + HOST),
                "the lease must expire so that the tasks can start elsewhere");
    }

    /** An outdated heartbeat does not list tasks that were started after it; they are not lost. */
    @Test
    void outdatedHeartbeatDoesNotMakeAnUnlistedTaskLost() {
        long token = leader.isUp(HOST, 1);
        leader.submit("j-000001", 1);
        leader.pass(100_000);
        leader.answered(
                message(
                        HOST,
                        1,
                        5,
                        token,
                        running(leader.last(SchedulerAction.SendDirectCommand.class))));
        SchedulerAction.AnswerHeartbeat answer = leader.report(message(HOST, 1, 4, token));
        assertEquals(List.of(), answer.commands());
        leader.pass(SECOND);
        assertEquals(1, startCommandCount());
        assertFalse(leader.logged(LogEvent.TASK_LOST));
    }

    /**
     * A higher token of the same term was issued to a removed machine of that name. It must not
     * make the leader step down, and its fence must not be reused.
     */
    @Test
    void higherTokenOfTheSameTermDoesNotCauseAStepDown() {
        leader.report(message("host-000009", 1, 10, TERM << AgentLiveness.FENCE_BITS | 7));
        assertEquals(List.of(), leader.all(SchedulerAction.StepDown.class));
        assertTrue(
                leader.last(SchedulerAction.AnswerHeartbeat.class).fencingToken()
                        > (TERM << AgentLiveness.FENCE_BITS | 7));
        leader.step(
                new SchedulerEvent.HeartbeatReceived(
                        99, message("host-000009", 1, 11, TERM + 1 << AgentLiveness.FENCE_BITS)));
        assertEquals(1, leader.all(SchedulerAction.StepDown.class).size());
    }

    /**
     * The agent's incarnation ended although each heartbeat got a response, so start commands in
     * those responses would not reach it.
     */
    @Test
    void unreachableAgentGetsNoTasksUntilItAcknowledgesTokens() {
        long token = leader.isUp(HOST, 1);
        leader.report(message(HOST, 1, 3, token));
        for (int sequence = 4; sequence < 7; sequence++) {
            leader.pass(5 * SECOND);
            leader.report(message(HOST, 1 + sequence / 6, sequence, token));
            leader.unanswered();
        }
        leader.submit("j-000001", 1);
        leader.pass(500_000);
        assertEquals(0, startCommandCount());
        assertTrue(leader.logged(LogEvent.MACHINE_UNREACHABLE, "machine=" + HOST, "zone=a"));
        long newToken = leader.report(message(HOST, 2, 7, token)).fencingToken();
        // That token had been outstanding for long, so another acknowledgement is required.
        leader.report(
                message(HOST, 2, 9, leader.report(message(HOST, 2, 8, newToken)).fencingToken()));
        leader.greeted(HOST, 2, 10);
        leader.pass(500_000);
        leader.greeted(HOST, 2, 11);
        leader.pass(500_000);
        leader.report(
                message(
                        HOST,
                        2,
                        12,
                        leader.last(SchedulerAction.AnswerHeartbeat.class).fencingToken()));
        assertTrue(leader.logged(LogEvent.MACHINE_REACHABLE, "machine=" + HOST));
        assertEquals(1, startCommandCount());
    }

    /**
     * Tasks placed on an unreachable agent whose start was not sent are placed on a reachable one.
     */
    @Test
    void unsentTaskOfAnUnreachableAgentIsPlacedElsewhere() {
        long token = leader.isUp(HOST, 1);
        leader.submit("j-000001", 1);
        leader.pass(100_000);
        leader.unanswered();
        leader.submit("j-000002", 1);
        String other = "host-000002";
        for (int sequence = 3; sequence < 8; sequence++) {
            leader.pass(SECOND);
            leader.report(message(HOST, 1, sequence, token));
        }
        leader.isUp(other, 1);
        leader.pass(SECOND);
        SchedulerAction.SendDirectCommand sent =
                leader.last(SchedulerAction.SendDirectCommand.class);
        assertEquals(other, sent.host());
        assertEquals(
                "j-000002/0",
                sent.commands().get(0).task().toString(),
                "j-000001 may still be on the unreachable agent");
        assertEquals(1, sent.commands().size());
    }
}
