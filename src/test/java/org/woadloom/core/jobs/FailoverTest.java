package org.woadloom.core.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.woadloom.core.LeaderFixture.SECOND;
import static org.woadloom.core.LeaderFixture.TERM;
import static org.woadloom.core.LeaderFixture.heartbeat;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.woadloom.core.LeaderFixture;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.machines.TaskLossHandler;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;
import org.woadloom.store.JobRecord;

/**
 * A new leader counts what the records name against the team's limit until there is proof that it
 * is gone.
 */
class FailoverTest {
    private static final String LOST = "host-000001";
    private static final String UP = "host-000002";
    private static final long EARLIER = TERM - 1;

    /**
     * A task of 8 CPUs that an earlier leader placed on the machine out of touch, of a job that may
     * be cancelled.
     */
    private static JobRecord placed(String jobId, boolean cancelled) {
        BitSet first = new BitSet();
        first.set(0);
        return new JobRecord(
                LeaderFixture.job(jobId, 1),
                0,
                0,
                cancelled,
                new BitSet(),
                List.of(new JobRecord.RecordedAttempt(LOST, attempt(jobId), first)),
                1,
                EARLIER,
                3);
    }

    private static long attempt(String jobId) {
        return (EARLIER << 32) + Integer.parseInt(jobId.substring(2));
    }

    private static TaskStatus task(
            String jobId, TaskStatus.State state, TaskStatus.ExitReason cause) {
        return new TaskStatus(new TaskId(jobId, 0), attempt(jobId), state, cause, false);
    }

    /**
     * A team limited to two tasks has one on a machine that can't be asked, and asks for two more.
     */
    private static LeaderFixture atItsLimit(boolean cancelled) {
        LeaderFixture leader =
                new LeaderFixture(16, List.of(placed("j-000001", cancelled)), LOST, UP);
        leader.submit("j-000002", 2);
        long token = leader.bringUp(UP, 1);
        leader.sendHeartbeat(heartbeat(UP, 1, 3, token));
        leader.advance(SECOND);
        List<TaskCommand> started =
                leader.actionsOfType(SchedulerAction.SendDirectCommand.class).stream()
                        .filter(sent -> sent.host().equals(UP) && !sent.commands().isEmpty())
                        .findFirst()
                        .orElseThrow()
                        .commands();
        leader.answerLastDirectCommand(
                heartbeat(
                        UP,
                        1,
                        4,
                        token,
                        started.stream()
                                .map(
                                        command ->
                                                new TaskStatus(
                                                        command.task(),
                                                        command.attempt(),
                                                        TaskStatus.State.RUNNING,
                                                        null,
                                                        false))
                                .toArray(TaskStatus[]::new)));
        return leader;
    }

    private static Set<String> started(LeaderFixture leader) {
        Set<String> started = new TreeSet<>();
        List<TaskCommand> commands = new ArrayList<>();
        leader.actionsOfType(SchedulerAction.SendDirectCommand.class)
                .forEach(sent -> commands.addAll(sent.commands()));
        leader.actionsOfType(SchedulerAction.AnswerHeartbeat.class)
                .forEach(answer -> commands.addAll(answer.commands()));
        commands.stream()
                .filter(command -> command.action() == TaskCommand.Action.START)
                .forEach(command -> started.add(command.task().toString()));
        return started;
    }

    /** What a message of the machine that could not be asked says of the task that may be there. */
    private enum Word {
        OLD_AND_WITHOUT_IT(false, heartbeat(LOST, 1, 10, EARLIER << AgentLiveness.FENCE_BITS)),
        OLD_AND_LISTS_IT(
                false,
                heartbeat(
                        LOST,
                        1,
                        10,
                        EARLIER << AgentLiveness.FENCE_BITS,
                        task("j-000001", TaskStatus.State.RUNNING, null))),
        OLD_AND_ENDED_IT(
                true,
                heartbeat(
                        LOST,
                        1,
                        10,
                        EARLIER << AgentLiveness.FENCE_BITS,
                        task("j-000001", TaskStatus.State.EXITED, TaskStatus.ExitReason.STOPPED))),
        OF_THIS_TERM_WITHOUT_IT(true, heartbeat(LOST, 1, 10, TERM << AgentLiveness.FENCE_BITS));

        private final boolean proof;
        private final Heartbeat message;

        Word(boolean proof, Heartbeat message) {
            this.proof = proof;
            this.message = message;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aTaskOfACancelledJobCountsUntilItIsProvenGone(Word word) {
        LeaderFixture leader = atItsLimit(true);
        assertEquals(Set.of("j-000002/0"), started(leader), "one task's resources are in doubt");
        leader.sendHeartbeat(word.message);
        leader.advance(SECOND);
        assertEquals(
                word.proof ? Set.of("j-000002/0", "j-000002/1") : Set.of("j-000002/0"),
                started(leader));
    }

    /** It may be minutes old: its agent may be gone, and its incarnation is not known. */
    @Test
    void nothingStartsWhereOnlyAnOldReportCameFrom() {
        LeaderFixture leader = new LeaderFixture(200, List.of(placed("j-000001", false)), LOST);
        leader.sendHeartbeat(heartbeat(LOST, 1, 50, EARLIER << AgentLiveness.FENCE_BITS));
        leader.submit("j-000002", 1);
        leader.advanceWithoutAnswers(20 * SECOND);
        assertEquals(Set.of(), started(leader));
        assertFalse(
                leader.logged(LogEvent.LEASE_EXPIRED, "machine=" + LOST)
                        || leader.logged(LogEvent.TASK_LOST),
                "nobody knows whether it heard that answer");
    }

    /**
     * The deletion's answer is the proof where the agent is never heard of again, and the team has
     * its quota back in time.
     */
    @Test
    void aTeamGetsBackWhatIsOnAMachineThatIsNeverHeardOfAgain() {
        LeaderFixture leader = atItsLimit(true);
        long began = leader.nowMicros;
        for (long sequence = 10;
                leader.actionsOfType(SchedulerAction.DeleteMachines.class).isEmpty()
                        && leader.nowMicros - began < 90 * SECOND;
                sequence++) {
            leader.advanceWithoutAnswers(SECOND);
            leader.sendHeartbeat(
                    heartbeat(
                            UP,
                            1,
                            sequence,
                            leader.lastAction(SchedulerAction.AnswerHeartbeat.class)
                                    .fencingToken()));
        }
        assertEquals(
                List.of(LOST), leader.lastAction(SchedulerAction.DeleteMachines.class).hosts());
        assertEquals(Set.of("j-000002/0"), started(leader));
        leader.step(new SchedulerEvent.MachineDeletionCompleted(List.of(LOST), true));
        assertTrue(
                leader.logged(LogEvent.TASK_LOST, "machine=" + LOST, "reason=\"machine deleted\""));
    }

    /**
     * An old heartbeat of incarnation 1 came first, and the agent answers a command for that
     * session in its second: refused, but it has seen the token. What the earlier leader started in
     * the second session is in that very answer.
     */
    @Test
    void whatTheFirstMessageOfALaterSessionListsIsThere() {
        LeaderFixture leader = new LeaderFixture(200, List.of(placed("j-000001", false)), LOST, UP);
        leader.sendHeartbeat(heartbeat(LOST, 1, 50, EARLIER << AgentLiveness.FENCE_BITS));
        SchedulerAction.SendDirectCommand greeting =
                leader.lastAction(SchedulerAction.SendDirectCommand.class);
        assertEquals(1, greeting.incarnation());
        leader.step(
                new SchedulerEvent.DirectCommandCompleted(
                        greeting.commandId(),
                        LOST,
                        409,
                        heartbeat(
                                LOST,
                                2,
                                80,
                                greeting.fencingToken(),
                                task("j-000001", TaskStatus.State.RUNNING, null))));
        leader.bringUp(UP, 1);
        leader.advance(SECOND);
        assertFalse(leader.logged(LogEvent.TASK_LOST));
        assertEquals(Set.of(), started(leader), "it runs where it was");
    }

    /**
     * A damaged record was replaced by the final state of a cancellation: what the leader knows of
     * the job's tasks still counts.
     */
    @Test
    void tasksOfAJobWhoseRecordIsGoneCountUntilTheyAre() {
        SchedulerFixture fixture = new SchedulerFixture(16);
        JobRegistry table = new JobRegistry(fixture.state);
        Reservations reservations = new Reservations(fixture.state);
        Machine machine = fixture.machine("host-1", "a");
        Job job = fixture.job("j-1", 8, 1, 2);
        TaskAttempt running = fixture.place(reservations, job, 0, machine);
        running.onConfirmed();
        fixture.place(reservations, job, 1, machine);
        Job next = fixture.job("j-2", 8, 1, 2);
        job.persistence.requireRead();
        job.persistence.startRead(fixture.state.nowMicros());
        table.onRecordNotFound("j-1");
        assertEquals(1, next.allowedTasks(), "what was never sent is gone, the other is there");
        assertTrue(running.isStopping());
        new JobPersister(fixture.state, table).emitDueRequests();
        assertTrue(
                fixture.actions().stream()
                        .noneMatch(
                                action ->
                                        action instanceof SchedulerAction.WriteJob
                                                || action
                                                        instanceof SchedulerAction.WriteFinalState),
                "there is no record to write");
        new TaskLossHandler(fixture.state).remove(running);
        new JobPersister(fixture.state, table).emitDueRequests();
        assertEquals(2, next.allowedTasks());
        assertFalse(fixture.state.jobs().containsKey("j-1"));
    }
}
