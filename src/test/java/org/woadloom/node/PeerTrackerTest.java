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
    private boolean isSendQueueFull;
    private final PeerTracker peerTracker =
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
                            return !isSendQueueFull;
                        }
                    },
                    List.of("leader"),
                    null,
                    null,
                    null);

    /** The agent gets an answer at once instead of waiting for its timeout. */
    @Test
    void forwardAnswers503AndCountsWhenSendQueueIsFull() {
        List<Response> answers = new ArrayList<>();
        peerTracker.forward("leader", new byte[0], answers::add);
        assertEquals(1, sent.size());
        assertEquals(List.of(), answers);
        isSendQueueFull = true;
        peerTracker.forward("leader", new byte[0], answers::add);
        assertEquals(1, sent.size());
        assertEquals(503, answers.get(0).status());
        assertEquals(1, peerTracker.refusedHeartbeats());
    }
}
