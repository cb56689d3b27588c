package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadloom.core.rollout.Feature;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRecord.Standing;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest;
import org.woadloom.store.RolloutRequest.Verb;

/**
 * Features are rolled out while nodes, machines and the store fail; the rules are checked after
 * each step.
 */
class RolloutTest {
    private static final long SECOND = 1_000_000;
    private static final long BUSY = 240 * SECOND;

    private static ClusterSimulation busy(long seed, Version from) {
        ClusterSimulation world = new ClusterSimulation(seed, Scenario.PLAIN.from(from));
        world.users(BUSY);
        return world;
    }

    private static Standing standing(ClusterSimulation world, Feature feature) {
        try {
            Map<String, Object> stored = world.stored("rollout/state");
            return stored == null ? Standing.OFF : RolloutRecord.parse(stored).of(feature.key());
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Step step(ClusterSimulation world) {
        return standing(world, Feature.MACHINE_LIFE).step();
    }

    private static void ask(ClusterSimulation world, Verb verb) {
        world.put("rollout/asked/machine-life", new RolloutRequest(verb, "test", 0).toMap());
    }

    /** Runs until the feature is as far as the given step, or for two minutes. */
    private static void runTo(ClusterSimulation world, Step step) {
        long until = world.loop.now() + 120 * SECOND;
        while (step(world).compareTo(step) < 0 && world.loop.now() < until) {
            world.run(world.loop.now() + SECOND / 10);
        }
        assertTrue(step(world).compareTo(step) >= 0, "not " + step + " but " + step(world));
    }

    @Test
    void aFeatureIsHeldHurriedTakenBackAndRolledOutAgain() {
        ClusterSimulation world = busy(5, Version.NOW);
        ask(world, Verb.HOLD);
        world.run(20 * SECOND);
        assertEquals(Step.OFF, step(world), "held");
        assertEquals(0, world.machineRecords()[1]);
        ask(world, Verb.GO);
        world.run(24 * SECOND);
        assertTrue(standing(world, Feature.MACHINE_LIFE).on(), "hurried");
        ask(world, Verb.BACK);
        if (step(world) != Step.SETTLED) {
            world.run(70 * SECOND);
            assertEquals(Step.OFF, step(world), "taken back");
            assertEquals(0, world.machineRecords()[1], "records of the feature are left");
        }
        ask(world, Verb.AUTO);
        runTo(world, Step.SETTLED);
        ask(world, Verb.BACK);
        world.run(world.loop.now() + 30 * SECOND);
        assertEquals(Step.SETTLED, step(world), "settled stays settled");
        assertEquals(
                world.machineRecords()[0],
                world.machineRecords()[1],
                "records of the old form are left");
    }

    /**
     * Every trouble there is, in the middle of a step forward and of a step back; one node's time
     * of day is far off.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void stepsBackAndForthSurviveTroubles(long seed) {
        ClusterSimulation world = busy(seed, Version.NOW);
        world.clockOff[(int) (seed % ClusterSimulation.NODES)] =
                seed % 2 == 0 ? 400 * SECOND : -400 * SECOND;
        world.faults(BUSY);
        long[] asks = {15, 40, 65, 110, 150};
        Verb[] verbs = {Verb.GO, Verb.BACK, Verb.GO, Verb.BACK, Verb.GO};
        for (int i = 0; i < asks.length; i++) {
            Verb verb = verbs[i];
            world.loop.after(asks[i] * SECOND + seed * 700_000, () -> ask(world, verb));
        }
        world.run(BUSY + 600 * SECOND);
        assertEquals(Step.SETTLED, step(world));
        assertEquals(
                world.machineRecords()[0],
                world.machineRecords()[1],
                "records of the old form are left");
        assertEquals(List.of(), world.unfinished());
    }

    /**
     * A node comes back as an earlier version at each step: nothing is switched on with it, and all
     * goes on after it.
     */
    @ParameterizedTest
    @EnumSource(Step.class)
    void aNodeThatComesBackOldIsWaitedFor(Step at) {
        for (int who = 0; who < 2; who++) {
            ClusterSimulation world = busy(11 + who, Version.NOW);
            runTo(world, at);
            int index = at == Step.OFF ? who : (world.leader() + who) % ClusterSimulation.NODES;
            world.replace(index, Version.AGREEING, 1 * SECOND);
            long back = world.loop.now();
            Step before = step(world);
            world.run(back + 40 * SECOND);
            if (before.compareTo(Step.ON) < 0) {
                assertEquals(Step.OFF, step(world), "switched on with an old node, at " + at);
            } else {
                assertEquals(before, step(world), "at " + at);
            }
            world.replace(index, Version.NOW, 1 * SECOND);
            runTo(world, Step.SETTLED);
        }
    }

    /**
     * What comes back after everything went down half-way; with the first, three versions run side
     * by side.
     */
    private static List<Version> half(long seed) {
        return switch ((int) seed) {
            case 1 -> List.of(Version.NOW, Version.AGREEING, Version.PRODUCTION);
            case 2 -> List.of(Version.PRODUCTION, Version.NOW, Version.PRODUCTION);
            default -> List.of(Version.PRODUCTION, Version.PRODUCTION, Version.NOW);
        };
    }

    /** Everything goes down half-way, half of it comes back old, and the store is away as well. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allEndHalfWayAndHalfComeBackOld(long seed) {
        ClusterSimulation world = busy(seed, Version.PRODUCTION);
        world.run(20 * SECOND);
        world.replace(0, Version.NOW, 2 * SECOND);
        world.run(30 * SECOND);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            world.replace(i, half(seed).get(i), (2 + i) * SECOND);
        }
        world.stateOutage(8 * SECOND);
        world.run(70 * SECOND);
        assertNull(world.stored("version/agreed"), "agreed with an old node");
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            world.replace(i, Version.NOW, (1 + 3 * i) * SECOND);
        }
        world.run(90 * SECOND);
        assertTrue(standing(world, Feature.COMPACT_RECORDS).on());
        runTo(world, Step.SETTLED);
    }

    /** Zone "b" is cut off in the middle with its only node, an old or a new one. */
    @ParameterizedTest
    @EnumSource(
            value = Version.class,
            names = {"AGREEING", "NOW"})
    void aZoneThatIsCutOffIsWaitedFor(Version there) {
        ClusterSimulation world = busy(7, Version.NOW);
        ask(world, Verb.HOLD);
        world.run(10 * SECOND);
        world.replace(1, there, SECOND / 2);
        world.run(15 * SECOND);
        world.island("b", 60 * SECOND);
        world.run(45 * SECOND);
        ask(world, Verb.GO);
        world.run(74 * SECOND);
        assertEquals(Step.OFF, step(world), "switched on without the zone's node");
        world.replace(1, Version.NOW, SECOND);
        runTo(world, Step.SETTLED);
    }

    /** A damaged record among the others is neither lost nor passed over. */
    @Test
    void aRecordThatCantBeReadIsKeptAndKeepsTheFeatureFromSettling() {
        ClusterSimulation world = busy(8, Version.NOW);
        world.put("machine/host-damaged", Map.of("hosttype", 7L));
        world.run(90 * SECOND);
        assertEquals(Step.ON, step(world));
        assertEquals(Map.of("hosttype", 7L), world.stored("machine/host-damaged"));
        world.put("machine/host-damaged", null);
        runTo(world, Step.SETTLED);
    }

    /** What a later version requires, in a record that this one can't read otherwise. */
    @Test
    void whoDoesNotKnowWhatIsRequiredServesNobody() {
        ClusterSimulation world = busy(3, Version.NOW);
        runTo(world, Step.SETTLED);
        Map<String, Object> now = world.stored("rollout/state");
        world.put(
                "rollout/state",
                Map.of(
                        "number",
                        1_000L,
                        "requires",
                        List.of("compact-records", "from-the-future"),
                        "features",
                        Map.of("from-the-future", Map.of("step", "sideways"))));
        // A watch that was cut off is opened again after ten seconds.
        world.run(world.loop.now() + 12 * SECOND);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            assertEquals(503, world.status(i, "GET", "/healthz", null), "node " + i);
            assertEquals(503, world.status(i, "GET", "/v1/jobs/j-000001", null));
            assertEquals(503, world.status(i, "POST", "/v1/report", Map.of("host", "h")));
            assertEquals(200, world.status(i, "GET", "/metrics", null));
        }
        String term = String.valueOf(world.stored("term"));
        world.replace(1, Version.NOW, 1 * SECOND);
        world.run(world.loop.now() + 30 * SECOND);
        assertEquals(term, String.valueOf(world.stored("term")), "a node campaigned");
        Map<String, Object> again = new LinkedHashMap<>(now);
        again.put("number", 1_001L);
        world.put("rollout/state", again);
        world.run(world.loop.now() + 10 * SECOND);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            assertEquals(200, world.status(i, "GET", "/healthz", null), "node " + i);
        }
        assertNotEquals(term, String.valueOf(world.stored("term")), "nobody leads again");
        world.run(BUSY + 300 * SECOND);
        assertEquals(List.of(), world.unfinished());
    }

    /**
     * One node's settings name a node that nobody else's do: it has to be there, or to be named no
     * more.
     */
    @Test
    void settingsThatContradictEachOtherSwitchNothing() {
        ClusterSimulation world = new ClusterSimulation(4, Scenario.PLAIN);
        world.namesOneMore[2] = true;
        world.users(BUSY);
        world.run(60 * SECOND);
        for (Feature feature : Feature.values()) {
            assertEquals(Step.OFF, standing(world, feature).step(), feature.key());
        }
        world.namesOneMore[2] = false;
        world.replace(2, Version.NOW, 1 * SECOND);
        runTo(world, Step.SETTLED);
    }
}
