package org.woadloom.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.woadloom.protocol.MalformedMessageException;

class CompressedListTest {
    private static final int MACHINES = 12;
    private static final int TASKS = 12;

    /**
     * Guards against a relay that carries too little: with one heartbeat per value of 2 KiB, the
     * leases of a partitioned zone expired.
     */
    @Test
    void compressFitsTwelveHeartbeatsIntoTwoKibibytes() throws MalformedMessageException {
        Random random = new Random(6);
        List<Object> heartbeats = new ArrayList<>();
        for (int host = 0; host < MACHINES; host++) {
            List<Object> tasks = new ArrayList<>();
            for (int i = 0; i < TASKS; i++) {
                Map<String, Object> task = new LinkedHashMap<>();
                task.put(
                        "shard",
                        String.format("j-%06d/%d", random.nextInt(40) * 7919, random.nextInt(90)));
                task.put("try", (4L << 32) + random.nextInt(200));
                task.put("status", "running");
                tasks.add(task);
            }
            Map<String, Object> heartbeat = new LinkedHashMap<>();
            heartbeat.put("host", String.format("host-%06d", random.nextInt(500)));
            heartbeat.put("tick", (long) random.nextInt(400));
            heartbeat.put("shards", tasks);
            heartbeats.add(Arrays.asList(random.nextLong(1L << 54), heartbeat));
        }
        String compressed = CompressedList.compress(heartbeats);
        assertTrue(
                compressed.length() < 2_048,
                MACHINES + " heartbeats in " + compressed.length() + " characters");
        assertEquals(heartbeats, CompressedList.decompress(compressed));
    }

    /** The size limit of decompression is above the heartbeats of a whole zone of idle agents. */
    @Test
    void decompressReadsHeartbeatsOfFourThousandIdleAgents() throws MalformedMessageException {
        List<Object> heartbeats = new ArrayList<>();
        for (int host = 0; host < 4_000; host++) {
            Map<String, Object> heartbeat = new LinkedHashMap<>();
            heartbeat.put("host", String.format("host-%06d", host));
            heartbeat.put("tick", 17L);
            heartbeat.put("shards", List.of());
            heartbeats.add(Arrays.asList((long) host, heartbeat));
        }
        assertEquals(heartbeats, CompressedList.decompress(CompressedList.compress(heartbeats)));
    }

    @Test
    void decompressRejectsTruncatedAndInvalidText() {
        String compressed = CompressedList.compress(List.of("a", "b"));
        assertThrows(
                MalformedMessageException.class,
                () -> CompressedList.decompress(compressed.substring(0, compressed.length() / 2)));
        assertThrows(MalformedMessageException.class, () -> CompressedList.decompress("no letter"));
    }

    /**
     * Decompression stops at the size limit, so that a value can't fill the memory; the truncated
     * list is then rejected.
     */
    @Test
    void decompressRejectsListAboveSizeLimit() {
        String zeros = "0".repeat(60_000);
        List<Object> many = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            many.add(zeros);
        }
        String compressed = CompressedList.compress(many);
        assertTrue(compressed.length() < 16_384);
        assertThrows(MalformedMessageException.class, () -> CompressedList.decompress(compressed));
    }
}
