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
     * Deleted long ago and forgotten, or gone before this leader began: a name in a report is no
     * machine.
     */
    @Test
    void aCopyAdoptsNoMachine() {
        String gone = "host-000009";
        leader.report(message(gone, 1, 10, 0));
        leader.unanswered();
        leader.pass(20 * SECOND);
        assertEquals(List.of(), leader.all(SchedulerAction.WriteMachine.class));
        leader.submit("j-000001", 2);
        leader.pass(2 * SECOND);
        assertEquals(0, launches());
        assertEquals(List.of(), leader.all(SchedulerAction.DeleteMachines.class));
    }

    /** A machine that nobody expected and that answers is taken over, as it costs money. */
    @Test
    void aMachineThatAnswersIsTakenOver() {
        leader.isUp("host-000009", 10);
        assertEquals(
                "host-000009", leader.last(SchedulerAction.WriteMachine.class).record().host());
    }

    /**
     * The worker reported under this term's token and ended; the original was lost, and the copy
     * comes.
     */
    @ParameterizedTest
    @ValueSource(longs = {4, 20})
    void aCopyOfAWorkerThatIsGoneGetsNoWork(long lateS) {
        long token = leader.isUp(HOST, 1);
        leader.report(message(HOST, 1, 3, token));
        leader.passUnanswered(lateS * SECOND);
        leader.pass(2 * SECOND);
        leader.unanswered();
        leader.pass(2 * SECOND);
        leader.report(message(HOST, 1, 4, token));
        assertFalse(
                leader.logged(LogEvent.MACHINE_UNREACHABLE),
                "it was silent, and said nothing that it should have heard");
        leader.submit("j-000001", 2);
        leader.pass(1 * SECOND);
        assertEquals(0, launches());
        // It lives after all, in its next session where its lease has ended meanwhile.
        long incarnation = lateS > 10 ? 2 : 1;
        leader.report(message(HOST, incarnation, 5, token));
        SchedulerAction.SendDirectCommand asked =
                leader.last(SchedulerAction.SendDirectCommand.class);
        assertTrue(asked.fencingToken() > token, "it is asked under a new token");
        leader.answered(message(HOST, incarnation, 6, asked.fencingToken()));
        leader.greeted(HOST, incarnation, 7);
        leader.report(message(HOST, incarnation, 8, asked.fencingToken()));
        leader.pass(SECOND);
        assertEquals(2, launches());
    }

    /** A minute late its machine is given up already, and stays so. */
    @Test
    void aCopyKeepsNoMachineThatIsGivenUp() {
        long token = leader.isUp(HOST, 1);
        leader.report(message(HOST, 1, 3, token));
        leader.passUnanswered(60 * SECOND);
        assertEquals(List.of(HOST), leader.last(SchedulerAction.DeleteMachines.class).hosts());
        leader.report(message(HOST, 1, 4, token));
        leader.step(new SchedulerEvent.MachineDeletionCompleted(List.of(HOST), true));
        leader.report(message(HOST, 1, 5, token));
        leader.submit("j-000001", 2);
        leader.pass(2 * SECOND);
        assertEquals(0, launches());
        assertEquals(1, leader.all(SchedulerAction.DeleteMachines.class).size());
    }

    /**
     * The first answer of a new leader renews the lease, so what must go is halted in it; nothing
     * starts by it.
     */
    @Test
    void theFirstAnswerHaltsWhatMustGo() {
        TaskStatus stranger =
                new TaskStatus(new TaskId("j-000077", 0), 3, TaskStatus.State.RUNNING, null, false);
        SchedulerAction.AnswerHeartbeat first = leader.report(message(HOST, 1, 10, 0, stranger));
        assertEquals(List.of(TaskCommand.stop(stranger.task(), 3, 0)), first.commands());
    }

    /** Answers to copies reach nobody, so they can't have renewed a lease. */
    @Test
    void copiesHoldUpNoProofThatALeaseIsOver() {
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
                "its tasks can start elsewhere");
    }

    /** Tasks that came after the copied report are not missing because it does not list them. */
    @Test
    void anOlderReportProvesNothingGone() {
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
        assertEquals(1, launches());
        assertFalse(leader.logged(LogEvent.TASK_LOST));
    }

    /** It is neither a later leader's word, nor may its numbers come back. */
    @Test
    void aCopyWithAHigherTokenOfThisTermDeposesNobody() {
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
     * Its session ended though each report was answered: launches in those answers would reach
     * nobody.
     */
    @Test
    void aDeafWorkerGetsNoWorkUntilItShowsThatItHears() {
        long token = leader.isUp(HOST, 1);
        leader.report(message(HOST, 1, 3, token));
        for (int sequence = 4; sequence < 7; sequence++) {
            leader.pass(5 * SECOND);
            leader.report(message(HOST, 1 + sequence / 6, sequence, token));
            leader.unanswered();
        }
        leader.submit("j-000001", 1);
        leader.pass(500_000);
        assertEquals(0, launches());
        assertTrue(leader.logged(LogEvent.MACHINE_UNREACHABLE, "machine=" + HOST, "zone=a"));
        long now = leader.report(message(HOST, 2, 7, token)).fencingToken();
        // That token was out for long, so it is asked once more.
        leader.report(message(HOST, 2, 9, leader.report(message(HOST, 2, 8, now)).fencingToken()));
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
        assertEquals(1, launches());
    }

    /** What was meant for a worker that does not hear goes to one that does. */
    @Test
    void whatWasNeverSentToADeafWorkerGoesElsewhere() {
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
                "the first may be on the deaf one yet");
        assertEquals(1, sent.commands().size());
    }
}
