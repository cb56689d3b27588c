package org.woadloom.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.woadloom.peer.PeerCodec;
import org.woadloom.peer.PeerFormatException;
import org.woadloom.peer.PeerMessage;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Checks that version 1 and this release can read each other's records and peer frames, which is
 * required as long as version 1 may still run on some node.
 */
class Version1FormatTest {
    /** Message type of each sampled frame, by the name that version 1 used for it. */
    private static final Map<String, Class<? extends PeerMessage>> TYPES_BY_SAMPLE =
            Map.of(
                    "Hello",
                    PeerMessage.Hello.class,
                    "Ping",
                    PeerMessage.Ping.class,
                    "Hint",
                    PeerMessage.JobChangeNotification.class,
                    "Carry",
                    PeerMessage.ForwardedHeartbeat.class,
                    "Carried",
                    PeerMessage.ForwardedAnswer.class);

    private static Map<String, byte[]> samples() throws IOException {
        Map<String, byte[]> samples = new LinkedHashMap<>();
        try (var in = Version1FormatTest.class.getResourceAsStream("/production/samples.txt")) {
            for (String line :
                    new String(in.readAllBytes(), StandardCharsets.US_ASCII).split("\n")) {
                int colon = line.indexOf(": ");
                samples.put(
                        line.substring(0, colon),
                        HexFormat.of().parseHex(line.substring(colon + 2)));
            }
        }
        return samples;
    }

    /** A job without dependencies must be stored byte for byte as version 1 stored it. */
    @Test
    void version1RecordsReencodeToTheSameBytes() throws IOException, MalformedMessageException {
        int jobs = 0;
        for (Map.Entry<String, byte[]> sample : samples().entrySet()) {
            String kind = sample.getKey().split(" ")[0];
            if (kind.equals("peer")) {
                continue;
            }
            Map<String, Object> map = Cbor.decodeMap(sample.getValue());
            Map<String, Object> reencoded =
                    switch (kind) {
                        case "job" -> JobRecord.parse(map).toMap(RecordFormat.PLAIN);
                        case "final" -> FinalRecord.parse("j-1", map).toMap(RecordFormat.PLAIN);
                        case "machine" -> MachineRecord.parse("host-1", map).toMap();
                        case "types" ->
                                Map.of(
                                        "hosttypes",
                                        MachineType.parseAll(map).stream()
                                                .map(MachineType::toMap)
                                                .toList());
                        default -> map;
                    };
            assertArrayEquals(sample.getValue(), Cbor.encode(reencoded), sample.getKey());
            if (kind.equals("job")) {
                jobs++;
                assertEquals(map.get("placed"), Version1JobRecord.read(reencoded).get("placed"));
                JobRecord record = JobRecord.parse(map);
                if (!record.cancelled()) {
                    assertEquals(
                            sortAttempts(record),
                            sortAttempts(JobRecord.parse(record.toMap(RecordFormat.COMPACT))));
                }
                Map<String, Object> cancelled =
                        record.withCancellation().toMap(RecordFormat.COMPACT);
                assertTrue(
                        Cbor.maxJsonSize(cancelled) <= 2048,
                        "cancelled in " + Cbor.maxJsonSize(cancelled) + " bytes");
            }
        }
        assertTrue(jobs > 10);
        assertTrue(Cbor.maxJsonSize(Cbor.decodeMap(samples().get("job large"))) > 2048);
    }

    @Test
    void version1PeerFramesReencodeToTheSameBytes() throws IOException, PeerFormatException {
        PeerCodec codec = new PeerCodec();
        int frames = 0;
        for (Map.Entry<String, byte[]> sample : samples().entrySet()) {
            if (sample.getKey().startsWith("peer ")) {
                byte[] frame = sample.getValue();
                PeerMessage message = codec.decode(Arrays.copyOfRange(frame, 4, frame.length));
                assertEquals(TYPES_BY_SAMPLE.get(sample.getKey().substring(5)), message.getClass());
                assertArrayEquals(frame, codec.encode(message), sample.getKey());
                frames++;
            }
        }
        assertEquals(5, frames);
    }

    @Test
    void plainFormatRejectsJobsWithDependencies() throws MalformedMessageException {
        JobRecord record = JobRecord.accepted(JobDescription.parse(job(3, List.of("j-1"))), 5);
        assertThrows(IllegalStateException.class, () -> record.toMap(RecordFormat.PLAIN));
        Map<String, Object> compact = record.toMap(RecordFormat.COMPACT);
        assertThrows(MalformedMessageException.class, () -> Version1JobRecord.read(compact));
        assertEquals(List.of("j-1"), JobRecord.parse(compact).description().dependencies());
    }

    /** Returns the record with its attempts sorted, because their order has no meaning. */
    private static JobRecord sortAttempts(JobRecord record) {
        List<JobRecord.RecordedAttempt> attempts = new ArrayList<>(record.attempts());
        attempts.sort(
                Comparator.comparing(JobRecord.RecordedAttempt::host)
                        .thenComparingLong(JobRecord.RecordedAttempt::attempt));
        return new JobRecord(
                record.description(),
                record.submittedWallMicros(),
                record.readyWallMicros(),
                record.cancelled(),
                record.completedTasks(),
                attempts,
                record.runningCount(),
                record.term(),
                record.writeSequence());
    }

    private static Map<String, Object> job(int taskCount, List<String> dependencies) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("uid", "j-700001");
        job.put("jobclass", "work");
        job.put("crew", "red");
        job.put("shape", "batch");
        job.put("rank", "low");
        job.put("shards", (long) taskCount);
        job.put("vcpus", 1.0);
        job.put("ramGb", 2.0);
        job.put("bundle", "img");
        job.put("awaits", dependencies);
        return job;
    }

    /**
     * Random records with various machine name patterns must round-trip through the compact format.
     * Decoding corrupted text may only fail with {@link MalformedMessageException}.
     */
    @Test
    void compactFormatRoundTripsRandomRecordsAndRejectsCorruptText()
            throws MalformedMessageException {
        Random random = new Random(11);
        String[] hostFormats = {"host-%06d", "m%d", "a", "x-9-%d-b", "0%018d"};
        for (int round = 0; round < 400; round++) {
            int taskCount = 1 + random.nextInt(400);
            int machineCount = 1 + random.nextInt(150);
            BitSet done = new BitSet();
            done.set(0, random.nextInt(taskCount));
            Map<String, JobRecord.RecordedAttempt> placed = new LinkedHashMap<>();
            for (int i = 0; i < taskCount; i++) {
                int outcome = random.nextInt(4);
                if (outcome == 0) {
                    done.set(i);
                } else if (outcome > 1 && (!done.get(i) || random.nextInt(20) == 0)) {
                    int machine = random.nextInt(machineCount);
                    String host =
                            String.format(hostFormats[machine % hostFormats.length], machine * 13);
                    long attempt = (random.nextLong(1, 5) << 32) + random.nextInt(3);
                    placed.computeIfAbsent(
                                    host + " " + attempt,
                                    k -> new JobRecord.RecordedAttempt(host, attempt, new BitSet()))
                            .tasks()
                            .set(i);
                }
            }
            JobRecord record =
                    new JobRecord(
                            JobDescription.parse(job(taskCount, List.of())),
                            17,
                            random.nextInt(2),
                            false,
                            done,
                            new ArrayList<>(placed.values()),
                            3,
                            4,
                            5);
            JobRecord decoded =
                    JobRecord.parse(
                            Cbor.decodeMap(Cbor.encode(record.toMap(RecordFormat.COMPACT))));
            assertEquals(sortAttempts(record), sortAttempts(decoded));
            String text = (String) record.toMap(RecordFormat.COMPACT).get("progress");
            char[] corrupted = text.toCharArray();
            corrupted[random.nextInt(corrupted.length)] = "Aa0/*".charAt(random.nextInt(5));
            try {
                TaskProgressCodec.decode(new String(corrupted), taskCount);
            } catch (MalformedMessageException e) {
                assertFalse(e.getMessage().isEmpty());
            }
        }
    }
}
