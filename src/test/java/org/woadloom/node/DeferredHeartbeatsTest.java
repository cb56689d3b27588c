package org.woadloom.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.http.Response;

class DeferredHeartbeatsTest {
    private static final int FLEET_SIZE = 4_082;

    private final StoppedEventLoop loop = new StoppedEventLoop();
    private final List<Response> answers = new ArrayList<>();
    private int routed;
    private final DeferredHeartbeats deferred =
            new DeferredHeartbeats(
                    loop, HeartbeatRouter.MAX_WAITING_HEARTBEATS, heartbeat -> routed++);

    private void defer() {
        deferred.defer(
                new PendingHeartbeat(
                        new byte[0],
                        answers::add,
                        loop.nowMicros() + DeferredHeartbeats.MAX_WAIT_MICROS));
    }

    /**
     * After a shutdown of the whole cluster all agents send heartbeats before there is a leader.
     */
    @Test
    void deferHoldsHeartbeatsOfWholeFleetUntilRelease() {
        for (int i = 0; i < FLEET_SIZE; i++) {
            defer();
        }
        deferred.releaseAll();
        assertEquals(FLEET_SIZE, routed);
        assertEquals(0, deferred.refusedHeartbeats());
    }

    @Test
    void deferAnswersAndCountsHeartbeatsAboveLimit() {
        for (int i = 0; i < HeartbeatRouter.MAX_WAITING_HEARTBEATS + 3; i++) {
            defer();
        }
        assertEquals(List.of(421, 421, 421), answers.stream().map(Response::status).toList());
        assertEquals(3, deferred.refusedHeartbeats());
    }
}
