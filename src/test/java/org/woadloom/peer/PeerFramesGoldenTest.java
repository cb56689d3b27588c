package org.woadloom.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.core.cancellation.WatermarkAck;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.golden.GoldenFile;

/**
 * Compares the encoding of every type of peer message with recorded bytes, and checks that the
 * recorded bytes round-trip.
 */
class PeerFramesGoldenTest {
    private static final String FILE = "peer-frames.txt";

    private static Map<String, PeerMessage> messagesByName() {
        Map<String, PeerMessage> all = new LinkedHashMap<>();
        all.put("10 hello", new PeerMessage.Hello("node-1"));
        all.put(
                "11 ping of a leader",
                new PeerMessage.Ping(
                        7,
                        "node-1",
                        new PeerMessage.RolloutView(
                                9, List.of("a"), List.of("a", "b"), List.of("a", "b", "c"))));
        all.put(
                "11 ping without leader",
                new PeerMessage.Ping(
                        7, "", new PeerMessage.RolloutView(0, List.of(), List.of(), List.of())));
        all.put("11 ping of version 3", new PeerMessage.Ping(7, "node-1", null));
        all.put("13 hint", new PeerMessage.JobChangeNotification(new byte[] {1, 2, 3}, 41));
        all.put("14 report", new PeerMessage.ForwardedHeartbeat(42, new byte[] {4, 5}));
        all.put("15 answer", new PeerMessage.ForwardedAnswer(42, 421, new byte[] {6}));
        all.put(
                "16 standing",
                new PeerMessage.StatusReport(new PeerStatus(1, 2, 3, 4, 5, 6, -1, 8)));
        all.put(
                "17 warrant",
                new PeerMessage.Delegation(
                        new LeaseDelegation(1, 2, 3, LeaseDelegation.UNKNOWN_LAG)));
        all.put(
                "18 vouch",
                new PeerMessage.CancellationReport(
                        new WatermarkReport(
                                1,
                                2,
                                3,
                                4,
                                WatermarkReport.NO_LEADER_CLOCK,
                                6,
                                List.of("j-1", "j-2"))));
        all.put(
                "19 vouch taken",
                new PeerMessage.CancellationReportAck(new WatermarkAck(1, 2, 3, 4)));
        return all;
    }

    @Test
    void framesMatchGoldenBytesAndRoundTrip() throws IOException, PeerFormatException {
        PeerCodec codec = new PeerCodec();
        GoldenFile golden = new GoldenFile();
        messagesByName().forEach((name, message) -> golden.addBytes(name, codec.encode(message)));
        golden.check(FILE);
        for (String name : messagesByName().keySet()) {
            byte[] recorded = GoldenFile.readBytes(FILE, name);
            PeerMessage read =
                    codec.decode(Arrays.copyOfRange(recorded, Integer.BYTES, recorded.length));
            assertEquals(messagesByName().get(name).getClass(), read.getClass(), name);
            assertArrayEquals(recorded, codec.encode(read), name);
        }
    }

    @Test
    void goldenFileCoversEveryMessageType() {
        long messageTypes =
                messagesByName().values().stream().map(PeerMessage::getClass).distinct().count();
        assertEquals(PeerMessage.class.getPermittedSubclasses().length, messageTypes);
    }
}
