package org.woadloom.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.http.Response;
import org.woadloom.peer.PeerMessage;
import org.woadloom.peer.PeerTransport;

class PeerTrackerTest {
    private final List<PeerMessage> sent = new ArrayList<>();
    private boolean full;
    private final PeerTracker links =
            new PeerTracker(
                    new StoppedEventLoop(),
                    new PeerTransport() {
                        @Override
                        public void start(Listener listener) {}

                        @Override
                        public void send(String label, PeerMessage message) {
                            sent.add(message);
                        }

                        @Override
                        public boolean acceptsMessages(String label) {
                            return !full;
                        }
                    },
                    List.of("leader"),
                    null,
                    null,
                    null);

    /** Its worker is told at once, rather than when it has given up. */
    @Test
    void aReportThatCannotBeCarriedIsRefusedAtOnceAndCounted() {
        List<Response> answers = new ArrayList<>();
        links.forward("leader", new byte[0], answers::add);
        assertEquals(1, sent.size());
        assertEquals(List.of(), answers);
        full = true;
        links.forward("leader", new byte[0], answers::add);
        assertEquals(1, sent.size());
        assertEquals(503, answers.get(0).status());
        assertEquals(1, links.refused());
    }
}
