package org.woadloom.core.machines;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.woadloom.core.LeaderFixture.SECOND;
import static org.woadloom.core.LeaderFixture.TERM;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadloom.core.LeaderFixture;
import org.woadloom.protocol.TaskStatus;

/**
 * Direct commands that arrive once more after the agent has executed and answered them, and after
 * it has forgotten the attempts that they start.
 */
class CopiedStartCommandsTest {

    /** The time within which a cancelled task must be gone, as {@link LeaderFixture} sets it. */
    private static final long CANCEL_MICROS = 30 * SECOND;

    private final LeaderWithAgents cluster = new LeaderWithAgents();
    private final LeaderFixture leader = cluster.leader;
    private final ProtocolAgent first = cluster.first;
    private final ProtocolAgent second = cluster.second;

    private void assertCopiesStartNothing(ProtocolAgent agent) {
        assertFalse(agent.acknowledged.isEmpty(), "no exit was acknowledged");
        agent.receiveCopies();
        assertEquals(List.of(), agent.startedAgain);
    }

    @Test
    void copyDoesNotStartATaskAgainThatFailedAndMoved() {
        ProtocolAgent agent = cluster.submitAndRun(1);
        agent.exit(agent.running().get(0), TaskStatus.ExitReason.ERROR);
        cluster.run(6 * SECOND);
        assertEquals(1, cluster.otherThan(agent).running().size());
        assertCopiesStartNothing(agent);
    }

    @Test
    void copyDoesNotStartATaskAgainThatWasPreemptedAndMoved() {
        second.silent = true;
        cluster.run(3 * SECOND);
        leader.submit(LeaderFixture.job(LeaderWithAgents.JOB, 4, "low", 4));
        cluster.run(3 * SECOND);
        leader.submit(LeaderFixture.job("j-000002", 4, "critical", 4));
        cluster.run(6 * SECOND);
        assertEquals("j-000002", first.running().get(0).task().jobId());
        second.silent = false;
        cluster.run(9 * SECOND);
        assertEquals(LeaderWithAgents.JOB, second.running().get(0).task().jobId());
        assertCopiesStartNothing(first);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, CANCEL_MICROS + 5 * SECOND})
    void copyDoesNotStartATaskAgainWhoseJobWasCancelled(long lateMicros) {
        ProtocolAgent agent = cluster.submitAndRun(1);
        leader.cancel(LeaderWithAgents.JOB);
        cluster.run(4_500_000 + lateMicros);
        assertCopiesStartNothing(agent);
    }

    @Test
    void copyDoesNotStartATaskAgainWhoseJobIsDone() {
        ProtocolAgent agent = cluster.submitAndRun(1);
        agent.exit(agent.running().get(0), TaskStatus.ExitReason.DONE);
        cluster.run(6 * SECOND);
        assertCopiesStartNothing(agent);
    }

    @ParameterizedTest
    @EnumSource(names = {"INSUFFICIENT_RESOURCES", "ALREADY_RUNNING"})
    void copyDoesNotStartATaskThatWasRefusedAndPlacedElsewhere(TaskStatus.ExitReason reason) {
        first.refusal = reason;
        cluster.run(3 * SECOND);
        leader.submit(LeaderWithAgents.JOB, 4);
        cluster.run(6 * SECOND);
        assertEquals(2, second.running().size());
        first.refusal = null;
        assertCopiesStartNothing(first);
    }

    @Test
    void copyOfSeveralStartsDoesNotStartTheAcknowledgedOnesAgain() {
        ProtocolAgent agent = cluster.submitAndRun(2);
        agent.exit(agent.running().get(0), TaskStatus.ExitReason.DONE);
        cluster.run(6 * SECOND);
        assertEquals(1, agent.running().size());
        assertCopiesStartNothing(agent);
        assertEquals(1, agent.running().size());
    }

    /** The copy arrives before the first message of the new leader. */
    @Test
    void copyDoesNotStartATaskAgainWhenTheLeaderThatAcknowledgedItEnded() {
        ProtocolAgent agent = cluster.submitAndRun(1);
        agent.exit(agent.running().get(0), TaskStatus.ExitReason.ERROR);
        cluster.run(3 * SECOND);
        LeaderFixture nextLeader =
                new LeaderFixture(TERM + 1, 200, List.of(), first.host, second.host);
        cluster.agents().forEach(a -> a.follow(nextLeader));
        assertCopiesStartNothing(agent);
    }

    @Test
    void copyDoesNotReachTheNextIncarnation() {
        ProtocolAgent agent = cluster.submitAndRun(1);
        agent.startNextIncarnation();
        agent.receiveCopies();
        assertEquals(List.of(), agent.startedAgain);
    }

    /** The agent has neither its incarnation nor its token any more, and no answer yet. */
    @Test
    void copyDoesNotReachAnAgentThatLostItsState() {
        ProtocolAgent agent = cluster.submitAndRun(1);
        agent.loseState();
        agent.receiveCopies();
        assertEquals(List.of(), agent.startedAgain);
    }

    @Test
    void exitIsAcknowledgedAgainAfterALostAnswer() {
        ProtocolAgent agent = cluster.submitAndRun(1);
        agent.exit(agent.running().get(0), TaskStatus.ExitReason.DONE);
        agent.sendHeartbeat();
        leader.advance(LeaderWithAgents.HEARTBEAT_MICROS);
        agent.sendHeartbeatWithoutAnswer();
        cluster.run(3 * SECOND);
        assertEquals(0, agent.exitedCount());
        assertCopiesStartNothing(agent);
    }
}
