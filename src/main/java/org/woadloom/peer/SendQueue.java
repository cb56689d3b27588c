package org.woadloom.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Frames waiting to be written to one peer. The queue is bounded in frames and in bytes, and counts
 * refused frames.
 */
final class SendQueue {
    /**
     * Twice the largest fleet of about 4,000 machines, because every heartbeat and its answer may
     * pass through one peer.
     */
    static final int MAX_FRAMES = 8_192;

    /** Limits the heap used for a peer that does not read. A heartbeat has a few hundred bytes. */
    static final int MAX_BYTES = 4 * 1024 * 1024;

    private final ArrayDeque<ByteBuffer> frames = new ArrayDeque<>();
    private int bytes;
    private long refusedCount;

    /** Returns true if the next frame would be refused. */
    boolean isFull() {
        return frames.size() >= MAX_FRAMES || bytes >= MAX_BYTES;
    }

    /**
     * Appends a frame. If the queue is full, the frame is counted as refused and the method returns
     * false.
     */
    boolean add(byte[] frame) {
        if (isFull()) {
            refusedCount++;
            return false;
        }
        frames.addLast(ByteBuffer.wrap(frame));
        bytes += frame.length;
        return true;
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    /** Returns the frame to write next, or null. It stays in the queue until it is removed. */
    ByteBuffer first() {
        return frames.peekFirst();
    }

    void removeFirst() {
        bytes -= frames.removeFirst().capacity();
    }

    void clear() {
        frames.clear();
        bytes = 0;
    }

    /** Returns how many frames were refused because the queue was full. */
    long refusedCount() {
        return refusedCount;
    }
}
