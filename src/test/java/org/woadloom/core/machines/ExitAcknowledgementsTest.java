package org.woadloom.core.machines;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.woadloom.core.LeaderFixture.TERM;
import static org.woadloom.core.LeaderFixture.heartbeat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.woadloom.core.LeaderFixture;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/**
 * What raising an agent's fencing token before an exit is acknowledged costs, and when it waits.
 */
class ExitAcknowledgementsTest {
    private final LeaderWithAgents cluster = new LeaderWithAgents();
    private final LeaderFixture leader = cluster.leader;

    /** The agent's first task has ended, and the outcome is durable; no heartbeat followed. */
    private ProtocolAgent agentWithDurableExit(int taskCount) {
        ProtocolAgent agent = cluster.submitAndRun(taskCount);
        agent.exit(agent.running().get(0), TaskStatus.ExitReason.DONE);
        agent.sendHeartbeat();
        return agent;
    }

    private int commandsTo(ProtocolAgent agent) {
        return (int)
                leader.actionsOfType(SchedulerAction.SendDirectCommand.class).stream()
                        .filter(command -> command.host().equals(agent.host))
                        .count();
    }

    @Test
    void oneRaiseAcknowledgesExitsOfAllEarlierStarts() {
        ProtocolAgent agent = agentWithDurableExit(2);
        long startToken = agent.fencingToken;
        cluster.run(LeaderWithAgents.HEARTBEAT_MICROS);
        assertEquals(startToken + 1, agent.fencingToken);
        agent.exit(agent.running().get(0), TaskStatus.ExitReason.DONE);
        cluster.run(3 * LeaderWithAgents.HEARTBEAT_MICROS);
        assertEquals(startToken + 1, agent.fencingToken);
        assertEquals(2, agent.acknowledged.size());
    }

    @Test
    void raisedTokenCostsNoCommandOfItsOwn() {
        ProtocolAgent agent = agentWithDurableExit(1);
        int before = commandsTo(agent);
        cluster.run(4 * LeaderWithAgents.HEARTBEAT_MICROS);
        assertEquals(1, agent.acknowledged.size());
        assertEquals(before, commandsTo(agent));
        assertEquals(0, agent.conflicts);
    }

    @Test
    void agentGetsNewTasksRightAfterARaise() {
        ProtocolAgent agent = agentWithDurableExit(1);
        cluster.run(LeaderWithAgents.HEARTBEAT_MICROS);
        assertEquals(1, agent.acknowledged.size());
        leader.submit("j-000002", 4);
        cluster.runBetweenHeartbeats();
        assertEquals(2, agent.running().size());
        assertEquals(0, agent.conflicts);
    }

    @Test
    void acknowledgementWaitsForACommandInFlightAndDoesNotMakeTheAgentRefuseIt() {
        ProtocolAgent agent = agentWithDurableExit(1);
        agent.holdsCommands = true;
        leader.submit("j-000002", 4);
        leader.advance(100_000);
        agent.sendHeartbeat();
        assertEquals(0, agent.acknowledged.size());
        assertTrue(leader.logged(LogEvent.EXITS_ACKNOWLEDGED, "exits=0", "held=1"));
        agent.holdsCommands = false;
        cluster.run(2 * LeaderWithAgents.HEARTBEAT_MICROS);
        assertEquals(1, agent.acknowledged.size());
        assertEquals(2, agent.running().size());
        assertEquals(0, agent.conflicts);
    }

    @Test
    void tokenRaisedForAnUnansweredStartAcknowledgesEarlierExits() {
        ProtocolAgent agent = agentWithDurableExit(1);
        agent.holdsCommands = true;
        leader.submit("j-000002", 4);
        leader.advance(100_000);
        leader.failDirectCommands();
        assertFalse(leader.logged(LogEvent.FENCING_TOKEN_RAISED));
        agent.sendHeartbeat();
        assertEquals(1, agent.acknowledged.size());
        assertFalse(leader.logged(LogEvent.FENCING_TOKEN_RAISED));
    }

    @Test
    void manyExitsAreAcknowledgedInSpiteOfACommandInFlight() {
        ProtocolAgent agent = cluster.submitAndRun(1);
        agent.holdsCommands = true;
        leader.submit("j-000002", 4);
        leader.advance(100_000);
        assertEquals(0, acknowledgements(agent, ExitAcknowledgements.MAX_HELD_EXITS, 100));
        assertEquals(
                ExitAcknowledgements.MAX_HELD_EXITS + 1,
                acknowledgements(agent, ExitAcknowledgements.MAX_HELD_EXITS + 1, 101));
    }

    /** How many of so many exits of unknown jobs the answer to a heartbeat acknowledges. */
    private long acknowledgements(ProtocolAgent agent, int exits, long sequence) {
        TaskStatus[] tasks =
                IntStream.range(0, exits)
                        .mapToObj(
                                index ->
                                        new TaskStatus(
                                                new TaskId("j-000099", index),
                                                1,
                                                TaskStatus.State.EXITED,
                                                TaskStatus.ExitReason.STOPPED,
                                                false))
                        .toArray(TaskStatus[]::new);
        return leader
                .sendHeartbeat(heartbeat(agent.host, 1, sequence, agent.fencingToken, tasks))
                .commands()
                .stream()
                .filter(command -> command.action() == TaskCommand.Action.ACKNOWLEDGE_EXIT)
                .count();
    }

    @Test
    void newLeaderAcknowledgesExitsOfEarlierStartsUnderItsFirstToken() {
        ProtocolAgent agent = cluster.submitAndRun(1);
        agent.exit(agent.running().get(0), TaskStatus.ExitReason.STOPPED);
        LeaderFixture nextLeader = new LeaderFixture(TERM + 1, 200, List.of(), agent.host);
        agent.follow(nextLeader);
        agent.sendHeartbeat();
        assertEquals(1, agent.acknowledged.size());
        assertFalse(nextLeader.logged(LogEvent.FENCING_TOKEN_RAISED));
    }

    @Test
    void lostAnswerWithARaisedTokenLeavesTheAgentReachable() {
        ProtocolAgent agent = agentWithDurableExit(1);
        long raised = agent.sendHeartbeatWithoutAnswer().fencingToken();
        assertEquals(agent.fencingToken + 1, raised);
        cluster.run(3 * LeaderWithAgents.HEARTBEAT_MICROS);
        assertEquals(1, agent.acknowledged.size());
        assertFalse(leader.logged(LogEvent.MACHINE_UNREACHABLE));
        leader.submit("j-000002", 4);
        cluster.runBetweenHeartbeats();
        assertEquals(2, agent.running().size());
    }

    /** The agent has forgotten all of its tasks, so nothing is left to acknowledge. */
    @Test
    void exitsOfAFormerIncarnationNeedNoRaise() {
        ProtocolAgent agent = agentWithDurableExit(1);
        long token = agent.fencingToken;
        agent.startNextIncarnation();
        cluster.run(3 * LeaderWithAgents.HEARTBEAT_MICROS);
        assertFalse(leader.logged(LogEvent.FENCING_TOKEN_RAISED));
        assertTrue(agent.fencingToken >= token);
    }
}
