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

    /** With one report to a letter of 2 KiB, the leases of a zone that was cut off ended. */
    @Test
    void aSmallValueHoldsTheReportsOfManyMachines() throws MalformedMessageException {
        Random random = new Random(6);
        List<Object> reports = new ArrayList<>();
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
            Map<String, Object> report = new LinkedHashMap<>();
            report.put("host", String.format("host-%06d", random.nextInt(500)));
            report.put("tick", (long) random.nextInt(400));
            report.put("shards", tasks);
            reports.add(Arrays.asList(random.nextLong(1L << 54), report));
        }
        String packed = CompressedList.pack(reports);
        assertTrue(
                packed.length() < 2_048,
                MACHINES + " reports in " + packed.length() + " characters");
        assertEquals(reports, CompressedList.unpack(packed));
    }

    /** The bound on what is unpacked is above the reports of a whole zone of idle workers. */
    @Test
    void theReportsOfFourThousandIdleWorkersAreReadBack() throws MalformedMessageException {
        List<Object> reports = new ArrayList<>();
        for (int host = 0; host < 4_000; host++) {
            Map<String, Object> report = new LinkedHashMap<>();
            report.put("host", String.format("host-%06d", host));
            report.put("tick", 17L);
            report.put("shards", List.of());
            reports.add(Arrays.asList((long) host, report));
        }
        assertEquals(reports, CompressedList.unpack(CompressedList.pack(reports)));
    }

    @Test
    void brokenLettersAreRefused() {
        String packed = CompressedList.pack(List.of("a", "b"));
        assertThrows(
                MalformedMessageException.class,
                () -> CompressedList.unpack(packed.substring(0, packed.length() / 2)));
        assertThrows(MalformedMessageException.class, () -> CompressedList.unpack("no letter"));
    }

    /** A letter that would fill the memory is cut off, and then can't be read. */
    @Test
    void aLetterThatGrowsWithoutBoundIsRefused() {
        String zeros = "0".repeat(60_000);
        List<Object> many = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            many.add(zeros);
        }
        String packed = CompressedList.pack(many);
        assertTrue(packed.length() < 16_384);
        assertThrows(MalformedMessageException.class, () -> CompressedList.unpack(packed));
    }
}
