package org.woadloom.peer;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits a byte stream into length-prefixed frames. */
final class FrameReader {
    private byte[] incompleteFrame = new byte[0];

    /**
     * Adds the first {@code count} bytes and returns the frames that are now complete, without
     * their length prefixes.
     */
    List<byte[]> add(byte[] bytes, int count) throws PeerFormatException {
        byte[] unread = Arrays.copyOf(incompleteFrame, incompleteFrame.length + count);
        System.arraycopy(bytes, 0, unread, incompleteFrame.length, count);
        List<byte[]> frames = new ArrayList<>();
        int position = 0;
        while (unread.length - position >= Integer.BYTES) {
            // Kryo writes integers in little-endian order.
            int length =
                    ByteBuffer.wrap(unread, position, Integer.BYTES)
                            .order(ByteOrder.LITTLE_ENDIAN)
                            .getInt();
            if (length < 1 || length > PeerCodec.MAX_FRAME_BYTES) {
                throw new PeerFormatException(
                        "frame length " + length + ", expected 1 to " + PeerCodec.MAX_FRAME_BYTES);
            }
            if (unread.length - position - Integer.BYTES < length) {
                break;
            }
            frames.add(
                    Arrays.copyOfRange(
                            unread, position + Integer.BYTES, position + Integer.BYTES + length));
            position += Integer.BYTES + length;
        }
        incompleteFrame = Arrays.copyOfRange(unread, position, unread.length);
        return frames;
    }
}
