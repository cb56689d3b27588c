package org.woadloom.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerAction;
import org.woadloom.net.HttpTransport;

/** Direct commands while many agents do not answer, with at most 10 commands in flight. */
class AgentClientTest {
    private static final int MAX_IN_FLIGHT = 10;

    /** The callbacks of the commands in flight, by address. */
    private final Map<String, HttpTransport.Callback> inFlight = new LinkedHashMap<>();

    private final List<Integer> statuses = new ArrayList<>();
    private long commandsSent;
    private final AgentClient client =
            new AgentClient(
                    (address, method, path, body, timeout, callback) ->
                            inFlight.put(address, callback),
                    MAX_IN_FLIGHT);

    private void send(String address) {
        client.send(
                new SchedulerAction.SendDirectCommand(
                        ++commandsSent, address, address, 1, 1, List.of()),
                result -> statuses.add(result.status()));
    }

    private void timeOut(String address) {
        inFlight.remove(address).onResponse(HttpTransport.NO_RESPONSE, new byte[0]);
    }

    private void sendAndTimeOut(int machines) {
        for (int i = 0; i < machines; i++) {
            send("hung-" + i);
        }
        while (!inFlight.isEmpty()) {
            timeOut(inFlight.keySet().iterator().next());
        }
    }

    /**
     * Guards against commands to hung agents taking all connections, each for the timeout of 2 s,
     * while commands to healthy agents wait.
     */
    @Test
    void commandsToUnresponsiveAgentsDoNotDelayOthers() {
        sendAndTimeOut(40);
        for (int i = 0; i < 40; i++) {
            send("hung-" + i);
        }
        assertEquals(MAX_IN_FLIGHT / 2, inFlight.size());
        for (int i = 0; i < MAX_IN_FLIGHT / 2; i++) {
            send("healthy-" + i);
            assertTrue(inFlight.containsKey("healthy-" + i));
        }
        send("healthy-9");
        timeOut("hung-0");
        assertTrue(
                inFlight.containsKey("healthy-9"),
                "must be sent before queued commands to unresponsive agents");
        assertEquals(MAX_IN_FLIGHT, inFlight.size());
    }

    /**
     * All commands to unresponsive agents are sent in the end, and an agent that answers again
     * loses its low priority.
     */
    @Test
    void everyCommandCompletesAndAnAnswerEndsTheLowPriority() {
        sendAndTimeOut(40);
        sendAndTimeOut(40);
        assertEquals(80, statuses.size());
        for (int i = 0; i < 40; i++) {
            send("hung-" + i);
        }
        inFlight.remove("hung-0").onResponse(503, new byte[0]);
        send("hung-0");
        assertTrue(inFlight.containsKey("hung-0"));
        assertEquals(MAX_IN_FLIGHT / 2 + 1, inFlight.size());
    }
}
