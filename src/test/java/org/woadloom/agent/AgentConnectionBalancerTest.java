package org.woadloom.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AgentConnectionBalancerTest {
    private static final List<String> OTHER_NODES = List.of("node-1", "node-2");
    private static final long HEARTBEAT_MICROS = 4_000_000;
    private final AgentConnectionBalancer balancer =
            new AgentConnectionBalancer(2, HEARTBEAT_MICROS);

    @BeforeEach
    void connectMaxAgents() {
        assertNull(heartbeat("host-1", true, 0));
        assertNull(heartbeat("host-2", true, 0));
    }

    private String heartbeat(String host, boolean renewed, long now) {
        return balancer.redirectTarget(host, renewed, OTHER_NODES, now);
    }

    @Test
    void redirectsAgentAboveTheLimitOnceItsLeaseIsRenewed() {
        assertNull(
                heartbeat("host-3", false, 0),
                "the lease was not renewed in this term, so it may expire during a reconnect");
        assertNotNull(heartbeat("host-3", true, HEARTBEAT_MICROS));
        assertNull(
                heartbeat("host-1", true, HEARTBEAT_MICROS),
                "the number of agents is within the limit again");
        assertEquals(2, balancer.connectedAgents());
    }

    /**
     * Guards against an agent that can't reach the other node being redirected again and again
     * until its lease expires.
     */
    @Test
    void keepsReturningAgentThatCouldNotReachTheOtherNode() {
        assertNotNull(heartbeat("host-3", true, 0));
        assertNull(heartbeat("host-3", true, HEARTBEAT_MICROS));
        assertNull(heartbeat("host-3", true, 2 * HEARTBEAT_MICROS));
        heartbeat("host-1", true, 60_000_000);
        heartbeat("host-2", true, 60_000_000);
        assertNotNull(
                heartbeat("host-3", true, 70_000_000),
                "the agent may be redirected again after a while");
    }

    @Test
    void redirectsAgentToItsPreviousTargetAgainAfterAForwardedHeartbeat() {
        String target = heartbeat("host-3", true, 0);
        balancer.onForwarded("host-3");
        assertEquals(target, heartbeat("host-3", true, HEARTBEAT_MICROS));
    }

    @Test
    void silentAgentsNoLongerCountAsConnected() {
        assertNull(heartbeat("host-3", true, 4 * HEARTBEAT_MICROS));
        assertNull(heartbeat("host-4", true, 4 * HEARTBEAT_MICROS));
    }

    @Test
    void keepsAllAgentsWithoutAnotherNode() {
        for (int i = 0; i < 5; i++) {
            assertNull(balancer.redirectTarget("more-" + i, true, List.of(), 0));
        }
        assertEquals(7, balancer.connectedAgents());
    }
}
