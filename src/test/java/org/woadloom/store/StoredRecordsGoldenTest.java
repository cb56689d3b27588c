package org.woadloom.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.woadloom.golden.GoldenFile;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Compares the encoding of every stored record, with all fields set, with recorded bytes, and
 * checks that the recorded bytes round-trip.
 */
class StoredRecordsGoldenTest {
    private static final String FILE = "stored-records.txt";

    private interface RoundTrip {
        Map<String, Object> decodeAndEncode(Map<String, Object> map)
                throws MalformedMessageException;
    }

    private static Map<String, Object> description(List<String> dependencies) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("uid", "j-000412");
        job.put("jobclass", "nightly");
        job.put("crew", "red");
        job.put("shape", "group");
        job.put("rank", "high");
        job.put("shards", 40L);
        job.put("vcpus", 2.5);
        job.put("cards", 1.0);
        job.put("ramGb", 7.25);
        job.put("bundle", "img-3");
        job.put("pullGb", 1.5);
        job.put("hosttypes", List.of("m16", "g4"));
        job.put("yard", "b");
        job.put("samePlace", true);
        job.put("apart", true);
        job.put("reclaimable", true);
        job.put("runtimeS", 90.5);
        job.put("snapshotEveryS", 30.0);
        job.put("snapshotCostS", 2.0);
        job.put("dueS", 600.0);
        job.put("awaits", dependencies);
        return job;
    }

    private static JobRecord job(List<String> dependencies, long readyWallMicros)
            throws MalformedMessageException {
        BitSet done = new BitSet();
        done.set(0, 7);
        done.set(9);
        BitSet firstAttemptTasks = new BitSet();
        firstAttemptTasks.set(8);
        BitSet secondAttemptTasks = new BitSet();
        secondAttemptTasks.set(10, 20);
        return new JobRecord(
                JobDescription.parse(description(dependencies)),
                1_700_000_000_000_001L,
                readyWallMicros,
                false,
                done,
                List.of(
                        new JobRecord.RecordedAttempt(
                                "host-000007", (5L << 32) + 3, firstAttemptTasks),
                        new JobRecord.RecordedAttempt(
                                "host-000231", (5L << 32) + 4, secondAttemptTasks)),
                11,
                5,
                12);
    }

    private static Map<String, Map<String, Object>> jobRecords() throws MalformedMessageException {
        Map<String, Map<String, Object>> all = new LinkedHashMap<>();
        all.put("job plain", job(List.of(), 0).toMap(RecordFormat.PLAIN));
        all.put(
                "job plain cancelled",
                job(List.of(), 0).withCancellation().toMap(RecordFormat.PLAIN));
        all.put("job compact", job(List.of(), 0).toMap(RecordFormat.COMPACT));
        all.put(
                "job compact cancelled",
                job(List.of(), 0).withCancellation().toMap(RecordFormat.COMPACT));
        all.put("job compact awaits", job(List.of("j-1", "j-2"), 0).toMap(RecordFormat.COMPACT));
        all.put(
                "job compact ready",
                job(List.of(), 1_700_000_000_000_777L).toMap(RecordFormat.COMPACT));
        return all;
    }

    private static Map<String, Map<String, Object>> otherRecords() {
        Map<String, Map<String, Object>> all = new LinkedHashMap<>();
        FinalRecord done = new FinalRecord("j-1", false, 40, 1_700_000_000_000_002L, true);
        all.put("final plain", done.toMap(RecordFormat.PLAIN));
        all.put("final compact", done.toMap(RecordFormat.COMPACT));
        all.put(
                "final compact cancelled",
                new FinalRecord("j-1", true, 3, 4, false).toMap(RecordFormat.COMPACT));
        all.put("machine", new MachineRecord("host-1", "m16", "a", true, false).toMap());
        all.put("machine leaving", new MachineRecord("host-1", "m16", "a", false, true).toMap());
        all.put(
                "machine life",
                new MachineRecord(
                                "host-1",
                                "m16",
                                "a",
                                false,
                                true,
                                new MachineRecord.Lifecycle(1_700_000_000_000_003L, true))
                        .toMap());
        all.put(
                "machine life not up",
                new MachineRecord(
                                "host-1",
                                "m16",
                                "a",
                                false,
                                false,
                                new MachineRecord.Lifecycle(1_700_000_000_000_003L, false))
                        .toMap());
        Map<String, RolloutRecord.FeatureState> features = new LinkedHashMap<>();
        for (RolloutRecord.Step step : RolloutRecord.Step.values()) {
            features.put(
                    "feature-" + step.text(),
                    new RolloutRecord.FeatureState(step, false, false, 17, "node-1"));
        }
        features.put(
                "feature-back",
                new RolloutRecord.FeatureState(
                        RolloutRecord.Step.UNDERSTOOD, true, true, 18, "operator"));
        all.put("rollout state", new RolloutRecord(9, features).toMap());
        for (RolloutRequest.Verb verb : RolloutRequest.Verb.values()) {
            all.put(
                    "rollout asked " + verb.text(),
                    new RolloutRequest(verb, "operator", 19).toMap());
        }
        all.put(
                "rollout node",
                new NodeAnnouncement(
                                77,
                                Set.of("b", "a"),
                                Set.of("a"),
                                Set.of("node-1", "node-2"),
                                2,
                                20)
                        .toMap());
        all.put(
                "types",
                Map.of(
                        "hosttypes",
                        List.of(
                                new MachineType(
                                                "m16",
                                                16,
                                                1,
                                                32.5,
                                                50,
                                                0.5,
                                                1.25,
                                                0.3,
                                                30_500_000,
                                                List.of("a", "b"))
                                        .toMap())));
        return all;
    }

    private static RoundTrip roundTripOf(String name) {
        if (name.startsWith("job")) {
            return map -> JobRecord.parse(map).toMap(JobRecord.formatOf(map));
        } else if (name.startsWith("final")) {
            return map ->
                    FinalRecord.parse("j-1", map)
                            .toMap(
                                    map.containsKey("at")
                                            ? RecordFormat.COMPACT
                                            : RecordFormat.PLAIN);
        } else if (name.startsWith("machine")) {
            return map -> MachineRecord.parse("host-1", map).toMap();
        } else if (name.startsWith("rollout state")) {
            return map -> RolloutRecord.parse(map).toMap();
        } else if (name.startsWith("rollout asked")) {
            return map -> RolloutRequest.parse(map).toMap();
        } else if (name.startsWith("rollout node")) {
            return map -> NodeAnnouncement.parse(map).toMap();
        }
        return map ->
                Map.of(
                        "hosttypes",
                        MachineType.parseAll(map).stream().map(MachineType::toMap).toList());
    }

    @Test
    void storedRecordsMatchGoldenBytesAndRoundTrip() throws MalformedMessageException, IOException {
        Map<String, Map<String, Object>> all = jobRecords();
        all.putAll(otherRecords());
        GoldenFile golden = new GoldenFile();
        all.forEach((name, map) -> golden.addBytes(name, Cbor.encode(map)));
        golden.check(FILE);
        for (String name : all.keySet()) {
            byte[] recorded = GoldenFile.readBytes(FILE, name);
            assertArrayEquals(
                    recorded,
                    Cbor.encode(roundTripOf(name).decodeAndEncode(Cbor.decodeMap(recorded))),
                    name);
        }
        JobRecord read = JobRecord.parse(Cbor.decodeMap(GoldenFile.readBytes(FILE, "job compact")));
        assertEquals(job(List.of(), 0).attempts(), read.attempts());
        assertEquals(job(List.of(), 0).completedTasks(), read.completedTasks());
    }

    @Test
    void storeKeysMatchGoldenFile() {
        GoldenFile golden = new GoldenFile();
        golden.addText("leader", StoreKeys.LEADER);
        golden.addText("term", StoreKeys.TERM);
        golden.addText("types", StoreKeys.MACHINE_TYPES);
        golden.addText("nothing", StoreKeys.NEVER_WRITTEN);
        golden.addText("jobs", StoreKeys.JOB_PREFIX);
        golden.addText("job", StoreKeys.job("j-1"));
        golden.addText("finals", StoreKeys.FINAL_STATE_PREFIX);
        golden.addText("final", StoreKeys.finalState("j-1"));
        golden.addText("machines", StoreKeys.MACHINE_PREFIX);
        golden.addText("machine", StoreKeys.machine("host-1"));
        golden.addText("mail", StoreKeys.RELAY_PREFIX);
        golden.addText("mail of a node", StoreKeys.relayPrefix("node-1"));
        golden.addText("one letter", StoreKeys.relaySlot("node-1", 3));
        golden.addText("versions", StoreKeys.VERSION_PREFIX);
        golden.addText("agreed version", StoreKeys.AGREED_VERSION);
        golden.addText("version of nodes", StoreKeys.NODE_VERSION_PREFIX);
        golden.addText("rollout", StoreKeys.ROLLOUT_PREFIX);
        golden.addText("rollout state", StoreKeys.ROLLOUT_STATE);
        golden.addText("rollout nodes", StoreKeys.ROLLOUT_NODE_PREFIX);
        golden.addText("rollout asked", StoreKeys.ROLLOUT_REQUEST_PREFIX);
        golden.check("keys.txt");
    }
}
