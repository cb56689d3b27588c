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

/**
 * Checks that admission rejects a job only if it can never run, and not because it must wait for
 * capacity or quota.
 */
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
            String kind,
            long taskCount,
            double cpus,
            double gpus,
            String machineTypes,
            String zone,
            String zoneRules)
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
                                kind,
                                "rank",
                                "high",
                                "shards",
                                taskCount,
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
        map.put("samePlace", zoneRules != null && zoneRules.contains("same"));
        map.put("apart", zoneRules != null && zoneRules.contains("apart"));
        return JobDescription.parse(map);
    }

    private static boolean canRun(JobDescription job) {
        return AdmissionControl.rejectionBySettings(job, TEAM, ZONES) == null
                && AdmissionControl.rejectionByMachineTypes(job, TYPES) == null;
    }

    @ParameterizedTest
    @CsvSource({
        // A zone must be allowed by the job and offered by a type; one suitable type is enough.
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
        // With spreading, half of the tasks, rounded up, may be in one zone: a single task fits in
        // one zone, two tasks don't.
        "group, 1, 1, 0, , a, apart, true",
        "group, 2, 1, 0, , a, apart, false",
        "service, 3, 1, 0, , a, apart, false",
        "group, 3, 1, 0, , , apart, true",
        "group, 2, 1, 0, , , same+apart, false",
        "service, 2, 1, 0, , , same+apart, false",
        "service, 1, 1, 0, , , same+apart, true",
        "group, 2, 1, 0, large, , apart, false",
        "group, 2, 1, 0, large, , same, true",
        // An array may run its tasks in a single zone, at most half of them at a time.
        "batch, 2, 1, 0, , a, apart, true",
        "batch, 5, 1, 0, , , same+apart, true",
        "batch, 2, 1, 1, , , apart, true",
        // The team limit applies to one task of an array, and to all tasks of other jobs at once.
        "batch, 50, 1, 0, , , , true",
        "group, 9, 1, 0, , , , false",
        "service, 8, 1, 0, , , , true",
        "batch, 1, 9, 0, , , , false"
    })
    void rejectsOnlyJobsThatCanNeverRun(
            String kind,
            long taskCount,
            double cpus,
            double gpus,
            String machineTypes,
            String zone,
            String zoneRules,
            boolean expected)
            throws Exception {
        assertEquals(
                expected, canRun(job(kind, taskCount, cpus, gpus, machineTypes, zone, zoneRules)));
    }

    @Test
    void rejectsJobOfUnknownTeam() throws Exception {
        assertNotNull(
                AdmissionControl.rejectionBySettings(
                        job("batch", 1, 1, 0, null, null, null), null, ZONES));
        assertNull(
                AdmissionControl.rejectionBySettings(
                        job("batch", 1, 1, 0, null, null, null), TEAM, ZONES));
    }
}
