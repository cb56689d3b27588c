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

/**
 * Direct commands while many workers do not answer: 10 may be under way, and each holds its
 * connection for 2 s.
 */
class AgentClientTest {
    private static final int SLOTS = 10;

    /** Commands under way by address. */
    private final Map<String, HttpTransport.Callback> underWay = new LinkedHashMap<>();

    private final List<Integer> outcomes = new ArrayList<>();
    private long sends;
    private final AgentClient client =
            new AgentClient(
                    (address, method, path, body, timeout, callback) ->
                            underWay.put(address, callback),
                    SLOTS);

    private void send(String address) {
        client.send(
                new SchedulerAction.SendDirectCommand(++sends, address, address, 1, 1, List.of()),
                result -> outcomes.add(result.status()));
    }

    private void none(String address) {
        underWay.remove(address).onResponse(HttpTransport.NO_RESPONSE, new byte[0]);
    }

    private void hangAll(int machines) {
        for (int i = 0; i < machines; i++) {
            send("hung-" + i);
        }
        while (!underWay.isEmpty()) {
            none(underWay.keySet().iterator().next());
        }
    }

    /**
     * They used to take every connection again and again, and commands to the others waited for
     * them.
     */
    @Test
    void workersThatDoNotAnswerHoldUpNoOther() {
        hangAll(40);
        for (int i = 0; i < 40; i++) {
            send("hung-" + i);
        }
        assertEquals(SLOTS / 2, underWay.size());
        for (int i = 0; i < SLOTS / 2; i++) {
            send("healthy-" + i);
            assertTrue(underWay.containsKey("healthy-" + i));
        }
        send("healthy-9");
        none("hung-0");
        assertTrue(
                underWay.containsKey("healthy-9"),
                "it goes before those that wait for silent ones");
        assertEquals(SLOTS, underWay.size());
    }

    /** All get their turn, and one that answers again goes first as any other. */
    @Test
    void everyCommandIsSentAndHasItsOutcome() {
        hangAll(40);
        hangAll(40);
        assertEquals(80, outcomes.size());
        for (int i = 0; i < 40; i++) {
            send("hung-" + i);
        }
        underWay.remove("hung-0").onResponse(503, new byte[0]);
        send("hung-0");
        assertTrue(underWay.containsKey("hung-0"));
        assertEquals(SLOTS / 2 + 1, underWay.size());
    }
}
