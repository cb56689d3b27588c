package org.woadloom.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.woadloom.http.Response;
import org.woadloom.net.EventLoop;
import org.woadloom.peer.PeerMessage;
import org.woadloom.peer.PeerTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.MalformedMessageException;

/** Forwards heartbeats to the leader and keeps track of those that it has not answered yet. */
final class ForwardedHeartbeats {
    /** Less than the four seconds for which an agent waits for an answer. */
    private static final long ANSWER_TIMEOUT_MICROS = 3_500_000;

    /** The limit of the protocol for bodies; one in an unusual form can be larger as CBOR. */
    private static final int MAX_WHOLE_BYTES = 64 * 1024;

    /** Leaves room for counting up without a change of sign. */
    private static final int FREE_ID_BITS = 2;

    private final EventLoop loop;
    private final PeerTransport transport;
    private final Map<Long, Consumer<Response>> answersById = new HashMap<>();
    private long lastId;
    private long refusedHeartbeats;

    /**
     * @param random draws the first id, so that a restarted node never mistakes the leader's answer
     *     to its predecessor for one to itself
     */
    ForwardedHeartbeats(EventLoop loop, PeerTransport transport, Random random) {
        this.loop = loop;
        this.transport = transport;
        this.lastId = random.nextLong() >>> FREE_ID_BITS;
    }

    /**
     * Has the leader decide a heartbeat; answers 503 if the leader does not answer in time.
     *
     * @param heartbeat the body of a well-formed heartbeat
     */
    void forward(String leader, byte[] heartbeat, Consumer<Response> answer) {
        if (!transport.acceptsMessages(leader)) {
            refusedHeartbeats++;
            answer.accept(Response.unavailable("the send queue to the leader is full"));
            return;
        }
        long id = ++lastId;
        answersById.put(id, answer);
        transport.send(leader, new PeerMessage.ForwardedHeartbeat(id, fitToFrame(heartbeat)));
        loop.schedule(
                ANSWER_TIMEOUT_MICROS,
                () -> {
                    Consumer<Response> unanswered = answersById.remove(id);
                    if (unanswered != null) {
                        unanswered.accept(
                                Response.unavailable("the leader did not answer in time"));
                    }
                });
    }

    /** Leaves unknown fields out of a heartbeat that might not fit into a frame between nodes. */
    private static byte[] fitToFrame(byte[] heartbeat) {
        if (heartbeat.length <= MAX_WHOLE_BYTES) {
            return heartbeat;
        }
        try {
            return Cbor.encode(Cbor.decodeMap(heartbeat, Heartbeat.KNOWN_FIELDS));
        } catch (MalformedMessageException e) {
            throw new IllegalArgumentException(e);
        }
    }

    void onAnswer(PeerMessage.ForwardedAnswer message) {
        Consumer<Response> answer = answersById.remove(message.id());
        if (answer != null) {
            answer.accept(Response.cbor(message.status(), message.answer()));
        }
    }

    /**
     * Heartbeats that were refused because the send queue to the leader was full, since the process
     * started.
     */
    long refusedHeartbeats() {
        return refusedHeartbeats;
    }
}
