package org.woadloom.core.machines;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import org.woadloom.core.LeaderFixture;

/** A leader and two machines with room for two tasks each, whose agents follow the protocol. */
final class LeaderWithAgents {
    static final String JOB = "j-000001";
    static final long HEARTBEAT_MICROS = 1_500_000;
    private static final long TICK_MICROS = 100_000;

    final LeaderFixture leader = new LeaderFixture("host-000001", "host-000002");
    final ProtocolAgent first = new ProtocolAgent(leader, "host-000001");
    final ProtocolAgent second = new ProtocolAgent(leader, "host-000002");

    LeaderWithAgents() {
        leader.storesFinalStates = true;
    }

    Stream<ProtocolAgent> agents() {
        return Stream.of(first, second);
    }

    /** Advances time; the agents send heartbeats and execute direct commands. */
    void run(long micros) {
        for (long end = leader.nowMicros + micros; leader.nowMicros < end; ) {
            agents().forEach(ProtocolAgent::sendHeartbeat);
            runBetweenHeartbeats();
        }
    }

    /** Advances time by a heartbeat interval; the agents only execute direct commands. */
    void runBetweenHeartbeats() {
        for (long passed = 0; passed < HEARTBEAT_MICROS; passed += TICK_MICROS) {
            agents().forEach(ProtocolAgent::receiveCommands);
            leader.advance(TICK_MICROS);
        }
    }

    /** Submits a job and returns the agent that runs all of its tasks. */
    ProtocolAgent submitAndRun(int taskCount) {
        run(2 * HEARTBEAT_MICROS);
        leader.submit(JOB, taskCount);
        run(2 * HEARTBEAT_MICROS);
        ProtocolAgent agent = agents().filter(a -> !a.running().isEmpty()).findFirst().get();
        assertEquals(taskCount, agent.running().size());
        return agent;
    }

    ProtocolAgent otherThan(ProtocolAgent agent) {
        return agents().filter(a -> !a.host.equals(agent.host)).findFirst().get();
    }
}
