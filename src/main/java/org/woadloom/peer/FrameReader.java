package org.woadloom.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Cuts a stream of bytes into frames. */
final class FrameReader {
    private byte[] pending = new byte[0];

    /** Takes in more bytes and returns the frames that are complete. */
    List<byte[]> add(byte[] bytes, int count) throws PeerFormatException {
        byte[] all = Arrays.copyOf(pending, pending.length + count);
        System.arraycopy(bytes, 0, all, pending.length, count);
        List<byte[]> frames = new ArrayList<>();
        int at = 0;
        while (all.length - at >= Integer.BYTES) {
            // Kryo writes integers with the low byte first.
            int length =
                    ByteBuffer.wrap(all, at, Integer.BYTES)
                            .order(java.nio.ByteOrder.LITTLE_ENDIAN)
                            .getInt();
            if (length < 1 || length > PeerCodec.MAX_FRAME) {
                throw new PeerFormatException("a frame of " + length + " bytes");
            }
            if (all.length - at - Integer.BYTES < length) {
                break;
            }
            frames.add(Arrays.copyOfRange(all, at + Integer.BYTES, at + Integer.BYTES + length));
            at += Integer.BYTES + length;
        }
        pending = Arrays.copyOfRange(all, at, all.length);
        return frames;
    }
}
