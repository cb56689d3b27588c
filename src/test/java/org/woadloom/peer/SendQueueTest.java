package org.woadloom.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SendQueueTest {
    private static final int FLEET_SIZE = 4_082;
    private static final int HEARTBEAT_BYTES = 600;

    private final SendQueue queue = new SendQueue();

    @Test
    void queueHoldsTheHeartbeatsOfTheLargestFleet() {
        for (int i = 0; i < FLEET_SIZE; i++) {
            assertTrue(queue.add(new byte[HEARTBEAT_BYTES]));
        }
        assertEquals(0, queue.refusedCount());
    }

    @Test
    void framesAboveTheFrameLimitAreRefusedAndCounted() {
        for (int i = 0; i < SendQueue.MAX_FRAMES; i++) {
            assertTrue(queue.add(new byte[1]));
        }
        assertTrue(queue.isFull());
        assertFalse(queue.add(new byte[1]));
        assertEquals(1, queue.refusedCount());
        queue.removeFirst();
        assertTrue(queue.add(new byte[1]), "a removed frame makes room for another");
    }

    @Test
    void framesAboveTheByteLimitAreRefusedAndCounted() {
        int frames = 0;
        while (queue.add(new byte[PeerCodec.MAX_FRAME_BYTES])) {
            frames++;
        }
        assertEquals(SendQueue.MAX_BYTES / PeerCodec.MAX_FRAME_BYTES, frames);
        assertEquals(1, queue.refusedCount());
        // A partly written frame counts with its full size until it is removed.
        queue.first().position(10);
        queue.removeFirst();
        assertFalse(queue.isFull());
        queue.clear();
        assertTrue(queue.isEmpty());
    }
}
