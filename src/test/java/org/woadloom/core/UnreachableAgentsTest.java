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
 * A worker that can't open connections to any node, while commands reach it and are answered; its
 * lease is 10 s.
 */
class UnreachableAgentsTest {
    private static final String HOST = "host-000001";

    private final LeaderFixture leader = new LeaderFixture(HOST);
    private long token;
    private TaskStatus task;
    private long answered;
    private long sequence = 10;
    private int seen;

    /** It has a task, and its last report is answered now. */
    private void isClosedIn() {
        token = leader.bringUp(HOST, 1);
        leader.submit("j-000001", 1);
        leader.advance(100_000);
        TaskCommand launch =
                leader.lastAction(SchedulerAction.SendDirectCommand.class).commands().get(0);
        task =
                new TaskStatus(
                        launch.task(), launch.attempt(), TaskStatus.State.RUNNING, null, false);
        leader.answerLastDirectCommand(heartbeat(HOST, 1, ++sequence, token, task));
        leader.sendHeartbeat(heartbeat(HOST, 1, ++sequence, token, task));
        answered = leader.nowMicros;
        seen = leader.actionsOfType(SchedulerAction.SendDirectCommand.class).size();
    }

    /** Returns how many tasks it was sent until then. */
    private int until(long micros) {
        int launches = 0;
        while (leader.nowMicros < answered + micros) {
            leader.advance(100_000);
            for (;
                    seen < leader.actionsOfType(SchedulerAction.SendDirectCommand.class).size();
                    seen++) {
                SchedulerAction.SendDirectCommand sent =
                        leader.actionsOfType(SchedulerAction.SendDirectCommand.class).get(seen);
                launches +=
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
        return launches;
    }

    /** What it were sent now would be killed as its lease ends, however well it answers. */
    @Test
    void itGetsNoNewWorkAndWhatItHasIsLostWhenItsLeaseIsOver() {
        isClosedIn();
        until(4 * SECOND);
        leader.submit("j-000002", 1);
        assertEquals(0, until(10 * SECOND));
        assertTrue(seen > 2, "it was asked how it is");
        assertFalse(leader.logged(LogEvent.TASK_LOST), "its lease may not be over");
        assertEquals(0, until(10_400_000));
        assertTrue(
                leader.logged(
                        LogEvent.TASK_LOST,
                        "task=" + task.task(),
                        "attempt=" + task.attempt(),
                        "machine=" + HOST,
                        "reason=\"lease expired\""));
        assertEquals(0, until(30 * SECOND));
    }

    /** Its answers tell of the end of its task. */
    @Test
    void theEndOfItsTaskIsLearntFromItsAnswers() {
        isClosedIn();
        until(2 * SECOND);
        task =
                new TaskStatus(
                        task.task(),
                        task.attempt(),
                        TaskStatus.State.EXITED,
                        TaskStatus.ExitReason.DONE,
                        false);
        until(6 * SECOND);
        assertEquals(1, leader.actionsOfType(SchedulerAction.WriteFinalState.class).size());
    }
}
