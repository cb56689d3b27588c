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
 * Tasks that the records of an earlier leader name count against the team's limit under a new
 * leader until they are proven gone.
 */
class FailoverTest {
    private static final String SILENT_HOST = "host-000001";
    private static final String REACHABLE_HOST = "host-000002";
    private static final long EARLIER_TERM = TERM - 1;

    /** A job with a task of 8 CPUs that an earlier leader placed on the silent machine. */
    private static JobRecord recordWithAttempt(String jobId, boolean cancelled) {
        BitSet first = new BitSet();
        first.set(0);
        return new JobRecord(
                LeaderFixture.job(jobId, 1),
                0,
                0,
                cancelled,
                new BitSet(),
                List.of(new JobRecord.RecordedAttempt(SILENT_HOST, attemptNumber(jobId), first)),
                1,
                EARLIER_TERM,
                3);
    }

    private static long attemptNumber(String jobId) {
        return (EARLIER_TERM << 32) + Integer.parseInt(jobId.substring(2));
    }

    private static TaskStatus taskStatus(
            String jobId, TaskStatus.State state, TaskStatus.ExitReason cause) {
        return new TaskStatus(new TaskId(jobId, 0), attemptNumber(jobId), state, cause, false);
    }

    /**
     * A team limited to two tasks has one on a machine that does not respond, and requests two
     * more.
     */
    private static LeaderFixture leaderWithTeamAtLimit(boolean cancelled) {
        LeaderFixture leader =
                new LeaderFixture(
                        16,
                        List.of(recordWithAttempt("j-000001", cancelled)),
                        SILENT_HOST,
                        REACHABLE_HOST);
        leader.submit("j-000002", 2);
        long token = leader.bringUp(REACHABLE_HOST, 1);
        leader.sendHeartbeat(heartbeat(REACHABLE_HOST, 1, 3, token));
        leader.advance(SECOND);
        List<TaskCommand> started =
                leader.actionsOfType(SchedulerAction.SendDirectCommand.class).stream()
                        .filter(
                                sent ->
                                        sent.host().equals(REACHABLE_HOST)
                                                && !sent.commands().isEmpty())
                        .findFirst()
                        .orElseThrow()
                        .commands();
        leader.answerLastDirectCommand(
                heartbeat(
                        REACHABLE_HOST,
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

    private static Set<String> startedTasks(LeaderFixture leader) {
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

    /** A message from the machine that was silent, and whether it proves that the task is gone. */
    private enum MessageCase {
        EARLIER_TERM_WITHOUT_TASK(
                false, heartbeat(SILENT_HOST, 1, 10, EARLIER_TERM << AgentLiveness.FENCE_BITS)),
        EARLIER_TERM_LISTS_TASK(
                false,
                heartbeat(
                        SILENT_HOST,
                        1,
                        10,
                        EARLIER_TERM << AgentLiveness.FENCE_BITS,
                        taskStatus("j-000001", TaskStatus.State.RUNNING, null))),
        EARLIER_TERM_TASK_EXITED(
                true,
                heartbeat(
                        SILENT_HOST,
                        1,
                        10,
                        EARLIER_TERM << AgentLiveness.FENCE_BITS,
                        taskStatus(
                                "j-000001",
                                TaskStatus.State.EXITED,
                                TaskStatus.ExitReason.STOPPED))),
        CURRENT_TERM_WITHOUT_TASK(
                true, heartbeat(SILENT_HOST, 1, 10, TERM << AgentLiveness.FENCE_BITS));

        private final boolean provesGone;
        private final Heartbeat message;

        MessageCase(boolean provesGone, Heartbeat message) {
            this.provesGone = provesGone;
            this.message = message;
        }
    }

    @ParameterizedTest
    @EnumSource
    void recoveredTaskOfACancelledJobCountsAgainstTheLimitUntilProvenGone(MessageCase messageCase) {
        LeaderFixture leader = leaderWithTeamAtLimit(true);
        assertEquals(
                Set.of("j-000002/0"),
                startedTasks(leader),
                "the recovered task holds half of the limit");
        leader.sendHeartbeat(messageCase.message);
        leader.advance(SECOND);
        assertEquals(
                messageCase.provesGone ? Set.of("j-000002/0", "j-000002/1") : Set.of("j-000002/0"),
                startedTasks(leader));
    }

    /**
     * A heartbeat of an earlier term may be minutes old. The agent may be gone, and whether its
     * incarnation is current is unknown.
     */
    @Test
    void startsNoTaskOnAMachineThatSentOnlyAnOldHeartbeat() {
        LeaderFixture leader =
                new LeaderFixture(200, List.of(recordWithAttempt("j-000001", false)), SILENT_HOST);
        leader.sendHeartbeat(
                heartbeat(SILENT_HOST, 1, 50, EARLIER_TERM << AgentLiveness.FENCE_BITS));
        leader.submit("j-000002", 1);
        leader.advanceWithoutAnswers(20 * SECOND);
        assertEquals(Set.of(), startedTasks(leader));
        assertFalse(
                leader.logged(LogEvent.LEASE_EXPIRED, "machine=" + SILENT_HOST)
                        || leader.logged(LogEvent.TASK_LOST),
                "the agent may have received the response, which renewed its lease");
    }

    /**
     * If an agent never sends a message again, the confirmed deletion of its machine proves that
     * its tasks are gone. The deletion must be requested within 90 s, so that the team's quota is
     * not held for longer.
     */
    @Test
    void declaresTasksOfASilentMachineLostOnceItsDeletionIsConfirmed() {
        LeaderFixture leader = leaderWithTeamAtLimit(true);
        long startMicros = leader.nowMicros;
        for (long sequence = 10;
                leader.actionsOfType(SchedulerAction.DeleteMachines.class).isEmpty()
                        && leader.nowMicros - startMicros < 90 * SECOND;
                sequence++) {
            leader.advanceWithoutAnswers(SECOND);
            leader.sendHeartbeat(
                    heartbeat(
                            REACHABLE_HOST,
                            1,
                            sequence,
                            leader.lastAction(SchedulerAction.AnswerHeartbeat.class)
                                    .fencingToken()));
        }
        assertEquals(
                List.of(SILENT_HOST),
                leader.lastAction(SchedulerAction.DeleteMachines.class).hosts());
        assertEquals(Set.of("j-000002/0"), startedTasks(leader));
        leader.step(new SchedulerEvent.MachineDeletionCompleted(List.of(SILENT_HOST), true));
        assertTrue(
                leader.logged(
                        LogEvent.TASK_LOST,
                        "machine=" + SILENT_HOST,
                        "reason=\"machine deleted\""));
    }

    /**
     * A delayed heartbeat of incarnation 1 arrives first, and the leader sends a command for that
     * incarnation. The agent, already in incarnation 2, refuses it with status 409, but has seen
     * the token and lists what the earlier leader started in incarnation 2. The recovered task is
     * in that message, so it is not lost.
     */
    @Test
    void keepsARecoveredTaskThatTheFirstMessageOfANewIncarnationLists() {
        LeaderFixture leader =
                new LeaderFixture(
                        200,
                        List.of(recordWithAttempt("j-000001", false)),
                        SILENT_HOST,
                        REACHABLE_HOST);
        leader.sendHeartbeat(
                heartbeat(SILENT_HOST, 1, 50, EARLIER_TERM << AgentLiveness.FENCE_BITS));
        SchedulerAction.SendDirectCommand greeting =
                leader.lastAction(SchedulerAction.SendDirectCommand.class);
        assertEquals(1, greeting.incarnation());
        leader.step(
                new SchedulerEvent.DirectCommandCompleted(
                        greeting.commandId(),
                        SILENT_HOST,
                        409,
                        heartbeat(
                                SILENT_HOST,
                                2,
                                80,
                                greeting.fencingToken(),
                                taskStatus("j-000001", TaskStatus.State.RUNNING, null))));
        leader.bringUp(REACHABLE_HOST, 1);
        leader.advance(SECOND);
        assertFalse(leader.logged(LogEvent.TASK_LOST));
        assertEquals(Set.of(), startedTasks(leader), "the task still runs on its first machine");
    }

    /**
     * A cancellation replaced a damaged record by the final state. Attempts of the job that the
     * leader knows of still count against the quota until they are gone.
     */
    @Test
    void tasksOfAJobWithoutARecordCountAgainstTheLimitUntilGone() {
        SchedulerFixture fixture = new SchedulerFixture(16);
        JobRegistry registry = new JobRegistry(fixture.state);
        Reservations reservations = new Reservations(fixture.state);
        Machine machine = fixture.machine("host-1", "a");
        Job job = fixture.job("j-1", 8, 1, 2);
        TaskAttempt running = fixture.place(reservations, job, 0, machine);
        running.onConfirmed();
        fixture.place(reservations, job, 1, machine);
        Job next = fixture.job("j-2", 8, 1, 2);
        job.persistence.requireRead();
        job.persistence.startRead(fixture.state.nowMicros());
        registry.onRecordNotFound("j-1");
        assertEquals(
                1,
                next.allowedTasks(),
                "the unsent attempt is removed, the confirmed one still counts");
        assertTrue(running.isStopping());
        new JobPersister(fixture.state, registry).emitDueRequests();
        assertTrue(
                fixture.actions().stream()
                        .noneMatch(
                                action ->
                                        action instanceof SchedulerAction.WriteJob
                                                || action
                                                        instanceof SchedulerAction.WriteFinalState),
                "no record is left to update");
        new TaskLossHandler(fixture.state).remove(running);
        new JobPersister(fixture.state, registry).emitDueRequests();
        assertEquals(2, next.allowedTasks());
        assertFalse(fixture.state.jobs().containsKey("j-1"));
    }
}
