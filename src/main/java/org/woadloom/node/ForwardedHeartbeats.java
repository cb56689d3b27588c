package org.woadloom.node;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.woadloom.http.Response;
import org.woadloom.net.EventLoop;
import org.woadloom.peer.PeerMessage;
import org.woadloom.peer.PeerTransport;

/** Heartbeats that this node has forwarded to the leader and that wait for its answer. */
final class ForwardedHeartbeats {
    /** Less than the four seconds for which an agent waits for an answer. */
    private static final long ANSWER_TIMEOUT_MICROS = 3_500_000;

    private final EventLoop loop;
    private final PeerTransport transport;
    private final Map<Long, Consumer<Response>> answersById = new HashMap<>();
    private long lastId;
    private long refused;

    ForwardedHeartbeats(EventLoop loop, PeerTransport transport) {
        this.loop = loop;
        this.transport = transport;
    }

    /** Has the leader decide a heartbeat; the answer is 503 if none comes in time. */
    void forward(String leader, byte[] heartbeat, Consumer<Response> answer) {
        if (!transport.acceptsMessages(leader)) {
            refused++;
            answer.accept(Response.unavailable("too much waits for the leader"));
            return;
        }
        long id = ++lastId;
        answersById.put(id, answer);
        transport.send(leader, new PeerMessage.ForwardedHeartbeat(id, heartbeat));
        loop.schedule(
                ANSWER_TIMEOUT_MICROS,
                () -> {
                    Consumer<Response> unanswered = answersById.remove(id);
                    if (unanswered != null) {
                        unanswered.accept(Response.unavailable("the leader does not answer"));
                    }
                });
    }

    void onAnswer(PeerMessage.ForwardedAnswer message) {
        Consumer<Response> answer = answersById.remove(message.id());
        if (answer != null) {
            answer.accept(Response.cbor(message.status(), message.answer()));
        }
    }

    /** Heartbeats that were refused because too much waited for the leader. */
    long refused() {
        return refused;
    }
}
