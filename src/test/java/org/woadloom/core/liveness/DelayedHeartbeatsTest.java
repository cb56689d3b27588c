package org.woadloom.core.liveness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.woadloom.core.LeaderFixture.SECOND;
import static org.woadloom.core.LeaderFixture.TERM;
import static org.woadloom.core.LeaderFixture.heartbeat;

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
                        leader.actionsOfType(SchedulerAction.SendDirectCommand.class).stream()
                                .flatMap(sent -> sent.commands().stream())
                                .filter(command -> command.action() == TaskCommand.Action.START)
                                .count()
                + (int)
                        leader.actionsOfType(SchedulerAction.AnswerHeartbeat.class).stream()
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
        leader.sendHeartbeat(heartbeat(unknownHost, 1, 10, 0));
        leader.failDirectCommands();
        leader.advance(20 * SECOND);
        assertEquals(List.of(), leader.actionsOfType(SchedulerAction.WriteMachine.class));
        leader.submit("j-000001", 2);
        leader.advance(2 * SECOND);
        assertEquals(0, startCommandCount());
        assertEquals(List.of(), leader.actionsOfType(SchedulerAction.DeleteMachines.class));
    }

    /** An unknown machine that responds to a command exists and costs money, so it is added. */
    @Test
    void unknownMachineThatRespondsIsAdded() {
        leader.bringUp("host-000009", 10);
        assertEquals(
                "host-000009",
                leader.lastAction(SchedulerAction.WriteMachine.class).record().host());
    }

    /**
     * The agent sent a heartbeat with a token of this term and fell silent. The original of its
     * next heartbeat is lost, and a copy arrives late.
     */
    @ParameterizedTest
    @ValueSource(longs = {4, 20})
    void silentAgentGetsNoTasksOnALateHeartbeat(long lateS) {
        long token = leader.bringUp(HOST, 1);
        leader.sendHeartbeat(heartbeat(HOST, 1, 3, token));
        leader.advanceWithoutAnswers(lateS * SECOND);
        leader.advance(2 * SECOND);
        leader.failDirectCommands();
        leader.advance(2 * SECOND);
        leader.sendHeartbeat(heartbeat(HOST, 1, 4, token));
        assertFalse(
                leader.logged(LogEvent.MACHINE_UNREACHABLE),
                "a silent agent must not be reported as unreachable");
        leader.submit("j-000001", 2);
        leader.advance(1 * SECOND);
        assertEquals(0, startCommandCount());
        // The agent turns out to be alive, in a new incarnation if its lease has expired meanwhile.
        long incarnation = lateS > 10 ? 2 : 1;
        leader.sendHeartbeat(heartbeat(HOST, incarnation, 5, token));
        SchedulerAction.SendDirectCommand probe =
                leader.lastAction(SchedulerAction.SendDirectCommand.class);
        assertTrue(probe.fencingToken() > token, "the probe must carry a new token");
        leader.answerLastDirectCommand(heartbeat(HOST, incarnation, 6, probe.fencingToken()));
        leader.acknowledgeToken(HOST, incarnation, 7);
        leader.sendHeartbeat(heartbeat(HOST, incarnation, 8, probe.fencingToken()));
        leader.advance(SECOND);
        assertEquals(2, startCommandCount());
    }

    /**
     * A heartbeat that is a minute late arrives after the machine was given up: the deletion must
     * not be repeated or revoked.
     */
    @Test
    void lateHeartbeatDoesNotRevokeADeletion() {
        long token = leader.bringUp(HOST, 1);
        leader.sendHeartbeat(heartbeat(HOST, 1, 3, token));
        leader.advanceWithoutAnswers(60 * SECOND);
        assertEquals(
                List.of(HOST), leader.lastAction(SchedulerAction.DeleteMachines.class).hosts());
        leader.sendHeartbeat(heartbeat(HOST, 1, 4, token));
        leader.step(new SchedulerEvent.MachineDeletionCompleted(List.of(HOST), true));
        leader.sendHeartbeat(heartbeat(HOST, 1, 5, token));
        leader.submit("j-000001", 2);
        leader.advance(2 * SECOND);
        assertEquals(0, startCommandCount());
        assertEquals(1, leader.actionsOfType(SchedulerAction.DeleteMachines.class).size());
    }

    /**
     * The first response of a new leader renews the agent's lease, so it must stop tasks that are
     * not to run; it starts none.
     */
    @Test
    void firstResponseOfANewLeaderStopsAnUnknownTask() {
        TaskStatus unknownTask =
                new TaskStatus(new TaskId("j-000077", 0), 3, TaskStatus.State.RUNNING, null, false);
        SchedulerAction.AnswerHeartbeat response =
                leader.sendHeartbeat(heartbeat(HOST, 1, 10, 0, unknownTask));
        assertEquals(List.of(TaskCommand.stop(unknownTask.task(), 3, 0)), response.commands());
    }

    /**
     * Responses to duplicates reach no agent, so they cannot have renewed a lease and must not
     * postpone its expiry.
     */
    @Test
    void duplicateHeartbeatsDoNotPostponeLeaseExpiry() {
        long token = leader.bringUp(HOST, 1);
        leader.submit("j-000001", 1);
        leader.advance(100_000);
        Heartbeat lastHeartbeat =
                heartbeat(
                        HOST,
                        1,
                        4,
                        token,
                        running(leader.lastAction(SchedulerAction.SendDirectCommand.class)));
        leader.answerLastDirectCommand(heartbeat(HOST, 1, 3, token));
        leader.sendHeartbeat(lastHeartbeat);
        for (int i = 0; i < 16; i++) {
            leader.advance(SECOND);
            leader.sendHeartbeat(lastHeartbeat);
            leader.sendHeartbeat(heartbeat(HOST, 1, 2, token));
        }
        assertTrue(
                leader.logged(LogEvent.LEASE_EXPIRED, "machine=" + HOST),
                "the lease must expire so that the tasks can start elsewhere");
    }

    /** An outdated heartbeat does not list tasks that were started after it; they are not lost. */
    @Test
    void outdatedHeartbeatDoesNotMakeAnUnlistedTaskLost() {
        long token = leader.bringUp(HOST, 1);
        leader.submit("j-000001", 1);
        leader.advance(100_000);
        leader.answerLastDirectCommand(
                heartbeat(
                        HOST,
                        1,
                        5,
                        token,
                        running(leader.lastAction(SchedulerAction.SendDirectCommand.class))));
        SchedulerAction.AnswerHeartbeat answer = leader.sendHeartbeat(heartbeat(HOST, 1, 4, token));
        assertEquals(List.of(), answer.commands());
        leader.advance(SECOND);
        assertEquals(1, startCommandCount());
        assertFalse(leader.logged(LogEvent.TASK_LOST));
    }

    /**
     * A higher token of the same term was issued to a removed machine of that name. It must not
     * make the leader step down, and its fence must not be reused.
     */
    @Test
    void higherTokenOfTheSameTermDoesNotCauseAStepDown() {
        leader.sendHeartbeat(heartbeat("host-000009", 1, 10, TERM << AgentLiveness.FENCE_BITS | 7));
        assertEquals(List.of(), leader.actionsOfType(SchedulerAction.StepDown.class));
        assertTrue(
                leader.lastAction(SchedulerAction.AnswerHeartbeat.class).fencingToken()
                        > (TERM << AgentLiveness.FENCE_BITS | 7));
        leader.step(
                new SchedulerEvent.HeartbeatReceived(
                        99, heartbeat("host-000009", 1, 11, TERM + 1 << AgentLiveness.FENCE_BITS)));
        assertEquals(1, leader.actionsOfType(SchedulerAction.StepDown.class).size());
    }

    /**
     * The agent's incarnation ended although each heartbeat got a response, so start commands in
     * those responses would not reach it.
     */
    @Test
    void unreachableAgentGetsNoTasksUntilItAcknowledgesTokens() {
        long token = leader.bringUp(HOST, 1);
        leader.sendHeartbeat(heartbeat(HOST, 1, 3, token));
        for (int sequence = 4; sequence < 7; sequence++) {
            leader.advance(5 * SECOND);
            leader.sendHeartbeat(heartbeat(HOST, 1 + sequence / 6, sequence, token));
            leader.failDirectCommands();
        }
        leader.submit("j-000001", 1);
        leader.advance(500_000);
        assertEquals(0, startCommandCount());
        assertTrue(leader.logged(LogEvent.MACHINE_UNREACHABLE, "machine=" + HOST, "zone=a"));
        long newToken = leader.sendHeartbeat(heartbeat(HOST, 2, 7, token)).fencingToken();
        // That token had been outstanding for long, so another acknowledgement is required.
        leader.sendHeartbeat(
                heartbeat(
                        HOST,
                        2,
                        9,
                        leader.sendHeartbeat(heartbeat(HOST, 2, 8, newToken)).fencingToken()));
        leader.acknowledgeToken(HOST, 2, 10);
        leader.advance(500_000);
        leader.acknowledgeToken(HOST, 2, 11);
        leader.advance(500_000);
        leader.sendHeartbeat(
                heartbeat(
                        HOST,
                        2,
                        12,
                        leader.lastAction(SchedulerAction.AnswerHeartbeat.class).fencingToken()));
        assertTrue(leader.logged(LogEvent.MACHINE_REACHABLE, "machine=" + HOST));
        assertEquals(1, startCommandCount());
    }

    /**
     * Tasks placed on an unreachable agent whose start was not sent are placed on a reachable one.
     */
    @Test
    void unsentTaskOfAnUnreachableAgentIsPlacedElsewhere() {
        long token = leader.bringUp(HOST, 1);
        leader.submit("j-000001", 1);
        leader.advance(100_000);
        leader.failDirectCommands();
        leader.submit("j-000002", 1);
        String other = "host-000002";
        for (int sequence = 3; sequence < 8; sequence++) {
            leader.advance(SECOND);
            leader.sendHeartbeat(heartbeat(HOST, 1, sequence, token));
        }
        leader.bringUp(other, 1);
        leader.advance(SECOND);
        SchedulerAction.SendDirectCommand sent =
                leader.lastAction(SchedulerAction.SendDirectCommand.class);
        assertEquals(other, sent.host());
        assertEquals(
                "j-000002/0",
                sent.commands().get(0).task().toString(),
                "j-000001 may still be on the unreachable agent");
        assertEquals(1, sent.commands().size());
    }
}
