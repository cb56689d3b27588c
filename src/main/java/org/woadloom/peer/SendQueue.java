package org.woadloom.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Frames that wait to be written to one peer, bounded in number and in bytes; what it refuses is
 * counted.
 */
final class SendQueue {
    /**
     * Twice the largest fleet of about 4,000 machines: every heartbeat of it and its answer may
     * pass through one peer.
     */
    static final int MAX_FRAMES = 8_192;

    /** A heartbeat has some hundred bytes; a peer that reads nothing must not fill the heap. */
    static final int MAX_BYTES = 4 * 1024 * 1024;

    private final ArrayDeque<ByteBuffer> frames = new ArrayDeque<>();
    private int bytes;
    private long refusedCount;

    /** True if the next frame would be refused. */
    boolean isFull() {
        return frames.size() >= MAX_FRAMES || bytes >= MAX_BYTES;
    }

    /** Returns false, and counts it, where the queue is full. */
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

    /** The frame that is to be written next, or null; it stays until it is removed. */
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

    /** How many frames were refused because the queue was full. */
    long refusedCount() {
        return refusedCount;
    }
}
