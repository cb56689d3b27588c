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
 * Copies of reports that come when their worker has said more since, or is gone, and workers that
 * hear nothing.
 */
class DelayedHeartbeatsTest {
    private static final String HOST = "host-000001";

    private final LeaderFixture leader = new LeaderFixture(HOST);

    private static TaskStatus running(SchedulerAction.SendDirectCommand sent) {
        TaskCommand launch = sent.commands().get(0);
        return new TaskStatus(
                launch.task(), launch.attempt(), TaskStatus.State.RUNNING, null, false);
    }

    private int launches() {
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
     * Deleted long ago and forgotten, or gone before this leader began: a name in a report is no
     * machine.
     */
    @Test
    void aCopyAdoptsNoMachine() {
        String gone = "host-000009";
        leader.sendHeartbeat(heartbeat(gone, 1, 10, 0));
        leader.failDirectCommands();
        leader.advance(20 * SECOND);
        assertEquals(List.of(), leader.actionsOfType(SchedulerAction.WriteMachine.class));
        leader.submit("j-000001", 2);
        leader.advance(2 * SECOND);
        assertEquals(0, launches());
        assertEquals(List.of(), leader.actionsOfType(SchedulerAction.DeleteMachines.class));
    }

    /** A machine that nobody expected and that answers is taken over, as it costs money. */
    @Test
    void aMachineThatAnswersIsTakenOver() {
        leader.bringUp("host-000009", 10);
        assertEquals(
                "host-000009",
                leader.lastAction(SchedulerAction.WriteMachine.class).record().host());
    }

    /**
     * The worker reported under this term's token and ended; the original was lost, and the copy
     * comes.
     */
    @ParameterizedTest
    @ValueSource(longs = {4, 20})
    void aCopyOfAWorkerThatIsGoneGetsNoWork(long lateS) {
        long token = leader.bringUp(HOST, 1);
        leader.sendHeartbeat(heartbeat(HOST, 1, 3, token));
        leader.advanceWithoutAnswers(lateS * SECOND);
        leader.advance(2 * SECOND);
        leader.failDirectCommands();
        leader.advance(2 * SECOND);
        leader.sendHeartbeat(heartbeat(HOST, 1, 4, token));
        assertFalse(
                leader.logged(LogEvent.MACHINE_UNREACHABLE),
                "it was silent, and said nothing that it should have heard");
        leader.submit("j-000001", 2);
        leader.advance(1 * SECOND);
        assertEquals(0, launches());
        // It lives after all, in its next session where its lease has ended meanwhile.
        long incarnation = lateS > 10 ? 2 : 1;
        leader.sendHeartbeat(heartbeat(HOST, incarnation, 5, token));
        SchedulerAction.SendDirectCommand asked =
                leader.lastAction(SchedulerAction.SendDirectCommand.class);
        assertTrue(asked.fencingToken() > token, "it is asked under a new token");
        leader.answerLastDirectCommand(heartbeat(HOST, incarnation, 6, asked.fencingToken()));
        leader.acknowledgeToken(HOST, incarnation, 7);
        leader.sendHeartbeat(heartbeat(HOST, incarnation, 8, asked.fencingToken()));
        leader.advance(SECOND);
        assertEquals(2, launches());
    }

    /** A minute late its machine is given up already, and stays so. */
    @Test
    void aCopyKeepsNoMachineThatIsGivenUp() {
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
        assertEquals(0, launches());
        assertEquals(1, leader.actionsOfType(SchedulerAction.DeleteMachines.class).size());
    }

    /**
     * The first answer of a new leader renews the lease, so what must go is halted in it; nothing
     * starts by it.
     */
    @Test
    void theFirstAnswerHaltsWhatMustGo() {
        TaskStatus stranger =
                new TaskStatus(new TaskId("j-000077", 0), 3, TaskStatus.State.RUNNING, null, false);
        SchedulerAction.AnswerHeartbeat first =
                leader.sendHeartbeat(heartbeat(HOST, 1, 10, 0, stranger));
        assertEquals(List.of(TaskCommand.stop(stranger.task(), 3, 0)), first.commands());
    }

    /** Answers to copies reach nobody, so they can't have renewed a lease. */
    @Test
    void copiesHoldUpNoProofThatALeaseIsOver() {
        long token = leader.bringUp(HOST, 1);
        leader.submit("j-000001", 1);
        leader.advance(100_000);
        Heartbeat last =
                heartbeat(
                        HOST,
                        1,
                        4,
                        token,
                        running(leader.lastAction(SchedulerAction.SendDirectCommand.class)));
        leader.answerLastDirectCommand(heartbeat(HOST, 1, 3, token));
        leader.sendHeartbeat(last);
        for (int i = 0; i < 16; i++) {
            leader.advance(SECOND);
            leader.sendHeartbeat(last);
            leader.sendHeartbeat(heartbeat(HOST, 1, 2, token));
        }
        assertTrue(
                leader.logged(LogEvent.LEASE_EXPIRED, "machine=" + HOST),
                "its tasks can start elsewhere");
    }

    /** Tasks that came after the copied report are not missing because it does not list them. */
    @Test
    void anOlderReportProvesNothingGone() {
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
        assertEquals(1, launches());
        assertFalse(leader.logged(LogEvent.TASK_LOST));
    }

    /** It is neither a later leader's word, nor may its numbers come back. */
    @Test
    void aCopyWithAHigherTokenOfThisTermDeposesNobody() {
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
     * Its session ended though each report was answered: launches in those answers would reach
     * nobody.
     */
    @Test
    void aDeafWorkerGetsNoWorkUntilItShowsThatItHears() {
        long token = leader.bringUp(HOST, 1);
        leader.sendHeartbeat(heartbeat(HOST, 1, 3, token));
        for (int sequence = 4; sequence < 7; sequence++) {
            leader.advance(5 * SECOND);
            leader.sendHeartbeat(heartbeat(HOST, 1 + sequence / 6, sequence, token));
            leader.failDirectCommands();
        }
        leader.submit("j-000001", 1);
        leader.advance(500_000);
        assertEquals(0, launches());
        assertTrue(leader.logged(LogEvent.MACHINE_UNREACHABLE, "machine=" + HOST, "zone=a"));
        long now = leader.sendHeartbeat(heartbeat(HOST, 2, 7, token)).fencingToken();
        // That token was out for long, so it is asked once more.
        leader.sendHeartbeat(
                heartbeat(
                        HOST,
                        2,
                        9,
                        leader.sendHeartbeat(heartbeat(HOST, 2, 8, now)).fencingToken()));
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
        assertEquals(1, launches());
    }

    /** What was meant for a worker that does not hear goes to one that does. */
    @Test
    void whatWasNeverSentToADeafWorkerGoesElsewhere() {
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
                "the first may be on the deaf one yet");
        assertEquals(1, sent.commands().size());
    }
}
