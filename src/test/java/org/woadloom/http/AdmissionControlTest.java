package org.woadloom.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.settings.Team;

/** Only what certainly never runs is refused: a job that could wait for its turn must not be. */
class AdmissionControlTest {
    private static final Team TEAM = new Team("team", 4, 8, 2, 4);
    private static final List<String> ZONES = List.of("a", "b");
    private static final List<MachineType> TYPES =
            List.of(
                    type("small", 4, 0, "a", "b"),
                    type("large", 16, 0, "b"),
                    type("card", 4, 1, "a"));

    private static MachineType type(String name, double cpus, double gpus, String... zones) {
        return new MachineType(name, cpus, gpus, 32, 50, 1, 1, 0.3, 30_000_000, List.of(zones));
    }

    private static JobDescription job(
            String shape,
            long shards,
            double cpus,
            double gpus,
            String machineTypes,
            String zone,
            String zones)
            throws Exception {
        Map<String, Object> map =
                new LinkedHashMap<>(
                        Map.of(
                                "uid",
                                "j-1",
                                "jobclass",
                                "work",
                                "crew",
                                "team",
                                "shape",
                                shape,
                                "rank",
                                "high",
                                "shards",
                                shards,
                                "vcpus",
                                cpus,
                                "cards",
                                gpus,
                                "ramGb",
                                1.0,
                                "bundle",
                                "img"));
        map.put(
                "hosttypes",
                machineTypes == null
                        ? null
                        : machineTypes.equals("none")
                                ? List.of()
                                : List.of(machineTypes.split("\\+")));
        map.put("yard", zone);
        map.put("samePlace", zones != null && zones.contains("same"));
        map.put("apart", zones != null && zones.contains("apart"));
        return JobDescription.parse(map);
    }

    private static boolean runs(JobDescription job) {
        return AdmissionControl.rejectionBySettings(job, TEAM, ZONES) == null
                && AdmissionControl.rejectionByMachineTypes(job, TYPES) == null;
    }

    @ParameterizedTest
    @CsvSource({
        // A type's zones count with the job's, and one of several types is enough.
        "batch, 1, 1, 0, large, , , true",
        "batch, 1, 1, 0, large, a, , false",
        "batch, 1, 1, 0, large, b, , true",
        "batch, 1, 1, 0, small+large, a, , true",
        "batch, 1, 8, 0, , b, , true",
        "batch, 1, 8, 0, , a, , false",
        "batch, 1, 1, 1, , a, , true",
        "batch, 1, 1, 1, , b, , false",
        "batch, 1, 1, 1, small, , , false",
        "batch, 1, 1, 0, none, , , false",
        "batch, 1, 1, 0, gone, , , false",
        "batch, 1, 1, 0, , nowhere, , false",
        // Half of the tasks, rounded up, may be in one zone: one of one may, one of two may not be
        // all.
        "group, 1, 1, 0, , a, apart, true",
        "group, 2, 1, 0, , a, apart, false",
        "service, 3, 1, 0, , a, apart, false",
        "group, 3, 1, 0, , , apart, true",
        "group, 2, 1, 0, , , same+apart, false",
        "service, 2, 1, 0, , , same+apart, false",
        "service, 1, 1, 0, , , same+apart, true",
        "group, 2, 1, 0, large, , apart, false",
        "group, 2, 1, 0, large, , same, true",
        // Tasks of an array take turns in the one zone: at most half of them at a time.
        "batch, 2, 1, 0, , a, apart, true",
        "batch, 5, 1, 0, , , same+apart, true",
        "batch, 2, 1, 1, , , apart, true",
        // An array may use its team's limit task by task, the others need it all at once.
        "batch, 50, 1, 0, , , , true",
        "group, 9, 1, 0, , , , false",
        "service, 8, 1, 0, , , , true",
        "batch, 1, 9, 0, , , , false"
    })
    void refusesWhatNeverRuns(
            String shape,
            long shards,
            double cpus,
            double gpus,
            String machineTypes,
            String zone,
            String zones,
            boolean runs)
            throws Exception {
        assertEquals(runs, runs(job(shape, shards, cpus, gpus, machineTypes, zone, zones)));
    }

    @Test
    void anUnknownTeamHasNoLimit() throws Exception {
        assertNotNull(
                AdmissionControl.rejectionBySettings(
                        job("batch", 1, 1, 0, null, null, null), null, ZONES));
        assertNull(
                AdmissionControl.rejectionBySettings(
                        job("batch", 1, 1, 0, null, null, null), TEAM, ZONES));
    }
}
