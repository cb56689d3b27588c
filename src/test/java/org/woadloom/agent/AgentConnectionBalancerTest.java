package org.woadloom.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AgentConnectionBalancerTest {
    private static final List<String> OTHERS = List.of("node-1", "node-2");
    private static final long REPORT = 4_000_000;
    private final AgentConnectionBalancer attendance = new AgentConnectionBalancer(2, REPORT);

    @BeforeEach
    void full() {
        assertNull(report("host-1", true, 0));
        assertNull(report("host-2", true, 0));
    }

    private String report(String host, boolean renewed, long now) {
        return attendance.redirectTarget(host, renewed, OTHERS, now);
    }

    @Test
    void whatIsTooMuchGoesElsewhereOnceItsLeaseIsRenewed() {
        assertNull(report("host-3", false, 0), "its lease may be about to end");
        assertNotNull(report("host-3", true, REPORT));
        assertNull(report("host-1", true, REPORT), "it has room again");
        assertEquals(2, attendance.connectedAgents());
    }

    /** A worker that can't reach the other node would spend its lease on the way to and fro. */
    @Test
    void aWorkerThatComesBackUnheardStays() {
        assertNotNull(report("host-3", true, 0));
        assertNull(report("host-3", true, REPORT));
        assertNull(report("host-3", true, 2 * REPORT));
        report("host-1", true, 60_000_000);
        report("host-2", true, 60_000_000);
        assertNotNull(report("host-3", true, 70_000_000), "it may be able to by now");
    }

    @Test
    void aWorkerThatTheOtherNodeSendsBackIsSentThereAgain() {
        String where = report("host-3", true, 0);
        attendance.onForwarded("host-3");
        assertEquals(where, report("host-3", true, REPORT));
    }

    @Test
    void whoeverIsSilentMakesRoom() {
        assertNull(report("host-3", true, 4 * REPORT));
        assertNull(report("host-4", true, 4 * REPORT));
    }

    @Test
    void withoutAnotherNodeAllStay() {
        for (int i = 0; i < 5; i++) {
            assertNull(attendance.redirectTarget("more-" + i, true, List.of(), 0));
        }
        assertEquals(7, attendance.connectedAgents());
    }
}
