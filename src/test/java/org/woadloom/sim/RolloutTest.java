package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.woadloom.core.rollout.Feature;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRecord.FeatureState;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest;
import org.woadloom.store.RolloutRequest.Verb;

/**
 * Features are rolled out while nodes, machines and the store fail; the invariants are checked
 * after each step.
 */
@ExtendWith(PrintReplayCommand.class)
class RolloutTest {
    private static final long SECOND = 1_000_000;
    private static final long SUBMISSIONS_END = 240 * SECOND;

    private static ClusterSimulation startCluster(long seed, Version from) {
        ClusterSimulation cluster =
                new ClusterSimulation(seed, Scenario.DEFAULT.startingWith(from));
        cluster.users.submitUntil(SUBMISSIONS_END);
        return cluster;
    }

    private static FeatureState stateOf(ClusterSimulation cluster, Feature feature) {
        try {
            Map<String, Object> stored = cluster.stored("rollout/state");
            return stored == null
                    ? FeatureState.OFF
                    : RolloutRecord.parse(stored).stateOf(feature.key());
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Step step(ClusterSimulation cluster) {
        return stateOf(cluster, Feature.MACHINE_LIFECYCLE).step();
    }

    private static void request(ClusterSimulation cluster, Verb verb) {
        cluster.put("rollout/asked/machine-life", new RolloutRequest(verb, "test", 0).toMap());
    }

    /** Runs until the feature has reached the step; fails after two minutes. */
    private static void runUntilStep(ClusterSimulation cluster, Step step) {
        long until = cluster.loop.now() + 120 * SECOND;
        while (step(cluster).compareTo(step) < 0 && cluster.loop.now() < until) {
            cluster.run(cluster.loop.now() + SECOND / 10);
        }
        assertTrue(step(cluster).compareTo(step) >= 0, "not " + step + " but " + step(cluster));
    }

    @Test
    void featureFollowsHoldGoBackAndAutoRequests() {
        ClusterSimulation cluster = startCluster(5, Version.CURRENT);
        request(cluster, Verb.HOLD);
        cluster.run(20 * SECOND);
        assertEquals(Step.OFF, step(cluster), "switched on in spite of a hold request");
        assertEquals(0, cluster.machineRecords()[1]);
        request(cluster, Verb.GO);
        cluster.run(24 * SECOND);
        assertTrue(
                stateOf(cluster, Feature.MACHINE_LIFECYCLE).isOn(),
                "not switched on by a go request");
        request(cluster, Verb.BACK);
        if (step(cluster) != Step.SETTLED) {
            cluster.run(70 * SECOND);
            assertEquals(Step.OFF, step(cluster), "not switched off by a back request");
            assertEquals(0, cluster.machineRecords()[1], "records of the feature are left");
        }
        request(cluster, Verb.AUTO);
        runUntilStep(cluster, Step.SETTLED);
        request(cluster, Verb.BACK);
        cluster.run(cluster.loop.now() + 30 * SECOND);
        assertEquals(Step.SETTLED, step(cluster), "a settled feature was switched back");
        assertEquals(
                cluster.machineRecords()[0],
                cluster.machineRecords()[1],
                "records of the old form are left");
    }

    /** All random faults during steps forward and back; the clock of one node is 400 s off. */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstSix")
    void rolloutSettlesAfterRepeatedGoAndBackRequestsUnderRandomFaults(long seed) {
        ClusterSimulation cluster = startCluster(seed, Version.CURRENT);
        cluster.clockOffsetMicros[(int) (seed % ClusterSimulation.NODES)] =
                seed % 2 == 0 ? 400 * SECOND : -400 * SECOND;
        cluster.randomFaults.startUntil(SUBMISSIONS_END);
        long[] requestSeconds = {15, 40, 65, 110, 150};
        Verb[] verbs = {Verb.GO, Verb.BACK, Verb.GO, Verb.BACK, Verb.GO};
        for (int i = 0; i < requestSeconds.length; i++) {
            Verb verb = verbs[i];
            cluster.loop.after(
                    requestSeconds[i] * SECOND + seed * 700_000, () -> request(cluster, verb));
        }
        cluster.run(SUBMISSIONS_END + 600 * SECOND);
        assertEquals(Step.SETTLED, step(cluster));
        assertEquals(
                cluster.machineRecords()[0],
                cluster.machineRecords()[1],
                "records of the old form are left");
        assertEquals(List.of(), cluster.unfinishedJobs());
    }

    /**
     * A node is downgraded to an earlier version at each step: the feature does not advance with
     * it, and the rollout continues after its upgrade.
     */
    @ParameterizedTest
    @EnumSource(Step.class)
    void rolloutWaitsForDowngradedNode(Step stepAtDowngrade) {
        for (int offset = 0; offset < 2; offset++) {
            ClusterSimulation cluster = startCluster(11 + offset, Version.CURRENT);
            runUntilStep(cluster, stepAtDowngrade);
            int index =
                    stepAtDowngrade == Step.OFF
                            ? offset
                            : (cluster.leader() + offset) % ClusterSimulation.NODES;
            cluster.replace(index, Version.VERSION_3, 1 * SECOND);
            long downgradedAt = cluster.loop.now();
            Step before = step(cluster);
            cluster.run(downgradedAt + 40 * SECOND);
            if (before.compareTo(Step.ON) < 0) {
                assertEquals(
                        Step.OFF,
                        step(cluster),
                        "switched on with an old node, at " + stepAtDowngrade);
            } else {
                assertEquals(before, step(cluster), "at " + stepAtDowngrade);
            }
            cluster.replace(index, Version.CURRENT, 1 * SECOND);
            runUntilStep(cluster, Step.SETTLED);
        }
    }

    /**
     * The versions with which the nodes restart in the middle of an upgrade; seed 1 mixes three
     * versions.
     */
    private static List<Version> mixedVersions(long seed) {
        return switch ((int) seed) {
            case 1 -> List.of(Version.CURRENT, Version.VERSION_3, Version.VERSION_1);
            case 2 -> List.of(Version.VERSION_1, Version.CURRENT, Version.VERSION_1);
            default -> List.of(Version.VERSION_1, Version.VERSION_1, Version.CURRENT);
        };
    }

    /**
     * All nodes end in the middle of an upgrade, some restart with an old version, and the store is
     * down as well.
     */
    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstThree")
    void rolloutSettlesAfterFullRestartIntoMixedVersions(long seed) {
        ClusterSimulation cluster = startCluster(seed, Version.VERSION_1);
        cluster.run(20 * SECOND);
        cluster.replace(0, Version.CURRENT, 2 * SECOND);
        cluster.run(30 * SECOND);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            cluster.replace(i, mixedVersions(seed).get(i), (2 + i) * SECOND);
        }
        cluster.storeOutage(8 * SECOND);
        cluster.run(70 * SECOND);
        assertNull(cluster.stored("version/agreed"), "version agreed on with an old node");
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            cluster.replace(i, Version.CURRENT, (1 + 3 * i) * SECOND);
        }
        cluster.run(90 * SECOND);
        assertTrue(stateOf(cluster, Feature.COMPACT_RECORDS).isOn());
        runUntilStep(cluster, Step.SETTLED);
    }

    /**
     * Zone "b" is partitioned with its only node, an old or a new one, before the rollout may
     * proceed.
     */
    @ParameterizedTest
    @EnumSource(
            value = Version.class,
            names = {"VERSION_3", "CURRENT"})
    void rolloutWaitsForNodeOfPartitionedZone(Version version) {
        ClusterSimulation cluster = startCluster(7, Version.CURRENT);
        request(cluster, Verb.HOLD);
        cluster.run(10 * SECOND);
        cluster.replace(1, version, SECOND / 2);
        cluster.run(15 * SECOND);
        cluster.isolateZone("b", 60 * SECOND);
        cluster.run(45 * SECOND);
        request(cluster, Verb.GO);
        cluster.run(74 * SECOND);
        assertEquals(Step.OFF, step(cluster), "switched on without the zone's node");
        cluster.replace(1, Version.CURRENT, SECOND);
        runUntilStep(cluster, Step.SETTLED);
    }

    /** A damaged record is neither deleted nor skipped. */
    @Test
    void unreadableRecordIsKeptAndBlocksSettling() {
        ClusterSimulation cluster = startCluster(8, Version.CURRENT);
        cluster.put("machine/host-damaged", Map.of("hosttype", 7L));
        cluster.run(90 * SECOND);
        assertEquals(Step.ON, step(cluster));
        assertEquals(Map.of("hosttype", 7L), cluster.stored("machine/host-damaged"));
        cluster.put("machine/host-damaged", null);
        runUntilStep(cluster, Step.SETTLED);
    }

    /**
     * A later version requires a feature that this one does not know, in a rollout record that is
     * otherwise unreadable for this version.
     */
    @Test
    void nodesLackingRequiredFeatureStopServing() {
        ClusterSimulation cluster = startCluster(3, Version.CURRENT);
        runUntilStep(cluster, Step.SETTLED);
        Map<String, Object> original = cluster.stored("rollout/state");
        cluster.put(
                "rollout/state",
                Map.of(
                        "number",
                        1_000L,
                        "requires",
                        List.of("compact-records", "from-the-future"),
                        "features",
                        Map.of("from-the-future", Map.of("step", "sideways"))));
        // A broken watch is reopened after ten seconds.
        cluster.run(cluster.loop.now() + 12 * SECOND);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            assertEquals(503, cluster.status(i, "GET", "/healthz", null), "node " + i);
            assertEquals(503, cluster.status(i, "GET", "/v1/jobs/j-000001", null));
            assertEquals(503, cluster.status(i, "POST", "/v1/report", Map.of("host", "h")));
            assertEquals(200, cluster.status(i, "GET", "/metrics", null));
        }
        String term = String.valueOf(cluster.stored("term"));
        cluster.replace(1, Version.CURRENT, 1 * SECOND);
        cluster.run(cluster.loop.now() + 30 * SECOND);
        assertEquals(term, String.valueOf(cluster.stored("term")), "a node campaigned");
        Map<String, Object> restored = new LinkedHashMap<>(original);
        restored.put("number", 1_001L);
        cluster.put("rollout/state", restored);
        cluster.run(cluster.loop.now() + 10 * SECOND);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            assertEquals(200, cluster.status(i, "GET", "/healthz", null), "node " + i);
        }
        assertNotEquals(
                term, String.valueOf(cluster.stored("term")), "no leader was elected again");
        cluster.run(SUBMISSIONS_END + 300 * SECOND);
        assertEquals(List.of(), cluster.unfinishedJobs());
    }

    /**
     * One node's settings name a peer that the settings of the others don't: features stay off
     * until that peer exists or is no longer named.
     */
    @Test
    void inconsistentPeerSettingsKeepFeaturesOff() {
        ClusterSimulation cluster = new ClusterSimulation(4, Scenario.DEFAULT);
        cluster.hasExtraPeer[2] = true;
        cluster.users.submitUntil(SUBMISSIONS_END);
        cluster.run(60 * SECOND);
        for (Feature feature : Feature.values()) {
            assertEquals(Step.OFF, stateOf(cluster, feature).step(), feature.key());
        }
        cluster.hasExtraPeer[2] = false;
        cluster.replace(2, Version.CURRENT, 1 * SECOND);
        runUntilStep(cluster, Step.SETTLED);
    }
}
