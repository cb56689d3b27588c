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
    private final DeferredHeartbeats parked =
            new DeferredHeartbeats(loop, Node.MAX_WAITING_REPORTS, report -> routed++);

    private void park() {
        parked.defer(
                new DeferredHeartbeats.PendingHeartbeat(
                        new byte[0],
                        answers::add,
                        loop.nowMicros() + DeferredHeartbeats.WAIT_MICROS));
    }

    /** After a full stop all workers report before anybody leads. */
    @Test
    void aWholeFleetWaitsForItsLeader() {
        for (int i = 0; i < FLEET; i++) {
            park();
        }
        parked.releaseAll();
        assertEquals(FLEET, routed);
        assertEquals(0, parked.refused());
    }

    @Test
    void whatIsTooMuchIsSentBackAtOnceAndCounted() {
        for (int i = 0; i < Node.MAX_WAITING_REPORTS + 3; i++) {
            park();
        }
        assertEquals(List.of(421, 421, 421), answers.stream().map(Response::status).toList());
        assertEquals(3, parked.refused());
    }
}
