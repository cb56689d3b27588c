package org.woadloom.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.woadloom.http.Response;
import org.woadloom.peer.PeerMessage;
import org.woadloom.peer.PeerTransport;

class PeerTrackerTest {
    private final List<PeerMessage> sent = new ArrayList<>();
    private boolean isSendQueueFull;
    private final PeerTracker peerTracker = newProcess();

    private PeerTracker newProcess() {
        return new PeerTracker(
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
                null,
                new Random());
    }

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

    /** Such an answer carries another machine's token and commands. */
    @Test
    void answerToAHeartbeatOfThePreviousProcessAnswersNoOther() {
        List<Response> answers = new ArrayList<>();
        peerTracker.forward("leader", new byte[0], answers::add);
        PeerMessage.ForwardedHeartbeat earlier = (PeerMessage.ForwardedHeartbeat) sent.get(0);
        PeerTracker nextProcess = newProcess();
        nextProcess.forward("leader", new byte[0], answers::add);
        nextProcess.onMessage(
                "leader", new PeerMessage.ForwardedAnswer(earlier.id(), 200, new byte[0]));
        assertEquals(List.of(), answers);
    }
}
