package org.woadloom.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.http.Response;

class DeferredHeartbeatsTest {
    private static final int FLEET = 4_082;

    private final StoppedEventLoop loop = new StoppedEventLoop();
    private final List<Response> answers = new ArrayList<>();
    private int routed;
    private final DeferredHeartbeats deferred =
            new DeferredHeartbeats(
                    loop, HeartbeatRouter.MAX_WAITING_HEARTBEATS, report -> routed++);

    private void defer() {
        deferred.defer(
                new PendingHeartbeat(
                        new byte[0],
                        answers::add,
                        loop.nowMicros() + DeferredHeartbeats.WAIT_MICROS));
    }

    /** After a full stop all workers report before anybody leads. */
    @Test
    void aWholeFleetWaitsForItsLeader() {
        for (int i = 0; i < FLEET; i++) {
            defer();
        }
        deferred.releaseAll();
        assertEquals(FLEET, routed);
        assertEquals(0, deferred.refused());
    }

    @Test
    void whatIsTooMuchIsSentBackAtOnceAndCounted() {
        for (int i = 0; i < HeartbeatRouter.MAX_WAITING_HEARTBEATS + 3; i++) {
            defer();
        }
        assertEquals(List.of(421, 421, 421), answers.stream().map(Response::status).toList());
        assertEquals(3, deferred.refused());
    }
}
