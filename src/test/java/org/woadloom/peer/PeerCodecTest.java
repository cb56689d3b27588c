package org.woadloom.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PeerCodecTest {
    private final PeerCodec codec = new PeerCodec();

    @Test
    void frameReaderReassemblesMessagesSplitAtAnyByte() throws PeerFormatException {
        byte[] first = codec.encode(new PeerMessage.Hello("node-1"));
        byte[] second = codec.encode(new PeerMessage.ForwardedAnswer(7, 200, new byte[] {1, 2, 3}));
        byte[] stream = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, stream, first.length, second.length);
        for (int cut = 0; cut <= stream.length; cut++) {
            FrameReader reader = new FrameReader();
            List<byte[]> frames =
                    new java.util.ArrayList<>(reader.add(Arrays.copyOf(stream, cut), cut));
            byte[] rest = Arrays.copyOfRange(stream, cut, stream.length);
            frames.addAll(reader.add(rest, rest.length));
            assertEquals(2, frames.size());
            assertEquals(new PeerMessage.Hello("node-1"), codec.decode(frames.get(0)));
            PeerMessage.ForwardedAnswer answer =
                    (PeerMessage.ForwardedAnswer) codec.decode(frames.get(1));
            assertEquals(7, answer.id());
            assertArrayEquals(new byte[] {1, 2, 3}, answer.answer());
        }
    }

    @Test
    void decodeOfCorruptFramesThrowsOnlyPeerFormatException() {
        byte[] frame = codec.encode(new PeerMessage.JobChangeNotification(new byte[40], 9));
        byte[] valid = Arrays.copyOfRange(frame, 4, frame.length);
        Random random = new Random(3);
        int refused = 0;
        for (int round = 0; round < 5_000; round++) {
            byte[] corrupt = Arrays.copyOf(valid, random.nextInt(valid.length + 1));
            if (corrupt.length > 0) {
                corrupt[random.nextInt(Math.min(12, corrupt.length))] = (byte) random.nextInt(256);
            }
            try {
                codec.decode(corrupt);
            } catch (PeerFormatException e) {
                refused++;
            }
        }
        assertTrue(refused > 1_000, refused + " refused");
    }
}
