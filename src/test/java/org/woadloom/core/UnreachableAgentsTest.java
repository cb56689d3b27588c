package org.woadloom.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.woadloom.core.LeaderFixture.SECOND;
import static org.woadloom.core.LeaderFixture.heartbeat;

import org.junit.jupiter.api.Test;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskStatus;

/**
 * An agent that can't open connections to any node, so its heartbeats don't arrive, but that
 * receives direct commands and answers them. Its lease is 10 s.
 */
class UnreachableAgentsTest {
    private static final String HOST = "host-000001";

    private final LeaderFixture leader = new LeaderFixture(HOST);
    private long token;
    private TaskStatus task;
    private long lastAnswerMicros;
    private long sequence = 10;
    private int handledCommands;

    /** Starts a task on the agent and answers its last heartbeat; no more heartbeats follow. */
    private void startTaskAndCutOffAgent() {
        token = leader.bringUp(HOST, 1);
        leader.submit("j-000001", 1);
        leader.advance(100_000);
        TaskCommand start =
                leader.lastAction(SchedulerAction.SendDirectCommand.class).commands().get(0);
        task = new TaskStatus(start.task(), start.attempt(), TaskStatus.State.RUNNING, null, false);
        leader.answerLastDirectCommand(heartbeat(HOST, 1, ++sequence, token, task));
        leader.sendHeartbeat(heartbeat(HOST, 1, ++sequence, token, task));
        lastAnswerMicros = leader.nowMicros;
        handledCommands = leader.actionsOfType(SchedulerAction.SendDirectCommand.class).size();
    }

    /**
     * Advances to the given time after the last answered heartbeat; the agent answers all direct
     * commands. Returns how many tasks the agent was told to start.
     */
    private int advanceUntil(long microsAfterLastAnswer) {
        int startCommands = 0;
        while (leader.nowMicros < lastAnswerMicros + microsAfterLastAnswer) {
            leader.advance(100_000);
            for (;
                    handledCommands
                            < leader.actionsOfType(SchedulerAction.SendDirectCommand.class).size();
                    handledCommands++) {
                SchedulerAction.SendDirectCommand sent =
                        leader.actionsOfType(SchedulerAction.SendDirectCommand.class)
                                .get(handledCommands);
                startCommands +=
                        (int)
                                sent.commands().stream()
                                        .filter(
                                                command ->
                                                        command.action()
                                                                == TaskCommand.Action.START)
                                        .count();
                leader.step(
                        new SchedulerEvent.DirectCommandCompleted(
                                sent.commandId(),
                                HOST,
                                200,
                                heartbeat(HOST, 1, ++sequence, sent.fencingToken(), task)));
            }
        }
        return startCommands;
    }

    /**
     * Answers to direct commands don't renew the lease, so the agent would kill any task that it is
     * given now when its lease expires.
     */
    @Test
    void agentGetsNoNewTasksAndItsTaskIsLostWhenItsLeaseExpires() {
        startTaskAndCutOffAgent();
        advanceUntil(4 * SECOND);
        leader.submit("j-000002", 1);
        assertEquals(0, advanceUntil(10 * SECOND));
        assertTrue(handledCommands > 2, "direct commands probe the agent");
        assertFalse(leader.logged(LogEvent.TASK_LOST), "the lease may not have expired yet");
        assertEquals(0, advanceUntil(10_400_000));
        assertTrue(
                leader.logged(
                        LogEvent.TASK_LOST,
                        "task=" + task.task(),
                        "attempt=" + task.attempt(),
                        "machine=" + HOST,
                        "reason=\"lease expired\""));
        assertEquals(0, advanceUntil(30 * SECOND));
    }

    @Test
    void taskEndIsLearnedFromDirectCommandAnswers() {
        startTaskAndCutOffAgent();
        advanceUntil(2 * SECOND);
        task =
                new TaskStatus(
                        task.task(),
                        task.attempt(),
                        TaskStatus.State.EXITED,
                        TaskStatus.ExitReason.DONE,
                        false);
        advanceUntil(6 * SECOND);
        assertEquals(1, leader.actionsOfType(SchedulerAction.WriteFinalState.class).size());
    }
}
