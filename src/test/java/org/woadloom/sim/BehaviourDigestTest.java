package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against unintended changes of behaviour in a refactoring: hashes every command and action
 * of every step of three nodes in random simulations with all faults, and compares them with {@code
 * behaviour-digest.txt}.
 *
 * <p>{@code -DdigestRecord=true} rewrites that file, {@code -DdigestDump=DIR} writes the text of
 * each run to a file so that two versions of the code can be compared by {@code diff}, and {@code
 * -DdigestOrder=reversed} runs the simulations in reverse order.
 */
class BehaviourDigestTest {
    private static final Path DIGEST_FILE = Path.of("src/test/resources/behaviour-digest.txt");
    private static final boolean RECORDING = Boolean.getBoolean("digestRecord");
    private static final String DUMP_DIRECTORY = System.getProperty("digestDump");
    private static final int SEEDS_PER_KIND = 12;
    private static final long FAULTS_END_MICROS = 150_000_000;
    private static final long FAULT_FREE_MICROS = 30_000_000;

    private static final Map<String, Expected> EXPECTED_RUNS = new TreeMap<>();
    private static final Map<String, BehaviourDigest> ACTUAL_RUNS = new TreeMap<>();

    /** The hash of a run, and the intermediate marks that locate the first difference. */
    private record Expected(String hash, String marks) {}

    /**
     * A simulation with random faults: of this version throughout (plain), or with nodes that are
     * upgraded from the version in production (upgrade).
     */
    record RandomRun(String kind, int seed) {
        boolean upgrade() {
            return kind.equals("upgrade");
        }

        String key() {
            return String.format("%s %02d", kind, seed);
        }

        @Override
        public String toString() {
            return key();
        }
    }

    static List<RandomRun> randomRuns() {
        List<RandomRun> runs = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS_PER_KIND; seed++) {
            runs.add(new RandomRun("plain", seed));
            runs.add(new RandomRun("upgrade", seed));
        }
        if ("reversed".equals(System.getProperty("digestOrder"))) {
            Collections.reverse(runs);
        }
        return runs;
    }

    @BeforeAll
    static void readExpected() throws IOException {
        if (RECORDING) {
            return;
        }
        for (String line : Files.readAllLines(DIGEST_FILE, StandardCharsets.US_ASCII)) {
            String[] parts = line.split(" ");
            EXPECTED_RUNS.put(parts[0] + " " + parts[1], new Expected(parts[2], parts[3]));
        }
    }

    @AfterAll
    static void writeExpected() throws IOException {
        if (RECORDING) {
            List<String> lines = new ArrayList<>();
            ACTUAL_RUNS.forEach(
                    (key, digest) -> lines.add(key + " " + digest.hash() + " " + digest.marks()));
            Files.write(DIGEST_FILE, lines, StandardCharsets.US_ASCII);
        }
    }

    @ParameterizedTest
    @MethodSource("randomRuns")
    void schedulerStepsMatchRecordedDigest(RandomRun randomRun) throws IOException {
        Expected before = EXPECTED_RUNS.get(randomRun.key());
        BehaviourDigest digest = run(randomRun, before == null ? null : before.marks());
        ACTUAL_RUNS.put(randomRun.key(), digest);
        if (RECORDING) {
            return;
        }
        assertNotNull(before, "no hash is recorded");
        if (!before.hash().equals(digest.hash())) {
            fail(
                    randomRun
                            + ": "
                            + digest.difference()
                            + "\n"
                            + "For the text of the whole run repeat this test with"
                            + " -DdigestDump=DIR, on this version and on the one before, and"
                            + " compare the files.");
        }
    }

    private static BehaviourDigest run(RandomRun randomRun, String marks) throws IOException {
        if (DUMP_DIRECTORY == null) {
            return run(randomRun, new BehaviourDigest(marks, null));
        }
        Path file =
                Files.createDirectories(Path.of(DUMP_DIRECTORY))
                        .resolve(randomRun.kind() + "-" + randomRun.seed() + ".txt");
        try (Writer dump = Files.newBufferedWriter(file)) {
            return run(randomRun, new BehaviourDigest(marks, dump));
        }
    }

    private static BehaviourDigest run(RandomRun randomRun, BehaviourDigest digest) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        randomRun.seed(),
                        randomRun.upgrade() ? Scenario.UPGRADE : Scenario.DEFAULT);
        cluster.stepObserver =
                (node, now, commands, actions) ->
                        digest.add(StepRenderer.render(node, now, commands, actions));
        cluster.users.submitUntil(FAULTS_END_MICROS);
        cluster.randomFaults.startUntil(FAULTS_END_MICROS);
        if (randomRun.upgrade()) {
            cluster.upgradeNodes(FAULTS_END_MICROS);
        }
        // Runs without the invariant checks: RandomScenariosTest covers those.
        cluster.loop.run(FAULTS_END_MICROS + FAULT_FREE_MICROS);
        return digest;
    }

    /** Checks that the digest detects a change of a single step. */
    @Test
    void digestLocatesChangedStep() {
        String marks = digestOf(null, 100, -1).marks();
        BehaviourDigest same = digestOf(marks, 100, -1);
        assertEquals(digestOf(null, 100, -1).hash(), same.hash());
        BehaviourDigest changed = digestOf(marks, 100, 57);
        assertNotEquals(same.hash(), changed.hash());
        assertTrue(changed.difference().contains("step 57 or"), changed.difference());
    }

    private static BehaviourDigest digestOf(String marks, int steps, int changed) {
        BehaviourDigest digest = new BehaviourDigest(marks, null);
        for (int step = 1; step <= steps; step++) {
            digest.add(step == changed ? "changed" : "step " + step);
        }
        return digest;
    }
}
