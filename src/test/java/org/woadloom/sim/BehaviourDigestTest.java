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
 * What the service decides stays the same while its code is renamed and rearranged: every command
 * and every effect of every step of three nodes on random days with all troubles, against hashes in
 * {@code behaviour-digest.txt}.
 *
 * <p>{@code -DdigestRecord=true} writes that file anew, {@code -DdigestDump=DIR} the text of each
 * day to a file, for a comparison of two versions of the code by {@code diff}, {@code
 * -DdigestOrder=reversed} plays the days in reverse order.
 */
class BehaviourDigestTest {
    private static final Path EXPECTED = Path.of("src/test/resources/behaviour-digest.txt");
    private static final boolean RECORDS = Boolean.getBoolean("digestRecord");
    private static final String DUMP = System.getProperty("digestDump");
    private static final int DAYS_OF_A_KIND = 12;
    private static final long TROUBLED_MICROS = 150_000_000;
    private static final long QUIET_MICROS = 30_000_000;

    private static final Map<String, Expected> EXPECTED_DAYS = new TreeMap<>();
    private static final Map<String, BehaviourDigest> PLAYED = new TreeMap<>();

    /** The hash of a day, and the marks that tell where a change begins. */
    private record Expected(String hash, String marks) {}

    /**
     * A random day: of this version throughout, or of one that replaces the version in production.
     */
    record RandomDay(String kind, int seed) {
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

    static List<RandomDay> days() {
        List<RandomDay> days = new ArrayList<>();
        for (int seed = 1; seed <= DAYS_OF_A_KIND; seed++) {
            days.add(new RandomDay("plain", seed));
            days.add(new RandomDay("upgrade", seed));
        }
        if ("reversed".equals(System.getProperty("digestOrder"))) {
            Collections.reverse(days);
        }
        return days;
    }

    @BeforeAll
    static void readExpected() throws IOException {
        if (RECORDS) {
            return;
        }
        for (String line : Files.readAllLines(EXPECTED, StandardCharsets.US_ASCII)) {
            String[] parts = line.split(" ");
            EXPECTED_DAYS.put(parts[0] + " " + parts[1], new Expected(parts[2], parts[3]));
        }
    }

    @AfterAll
    static void writeExpected() throws IOException {
        if (RECORDS) {
            List<String> lines = new ArrayList<>();
            PLAYED.forEach(
                    (day, digest) -> lines.add(day + " " + digest.hash() + " " + digest.marks()));
            Files.write(EXPECTED, lines, StandardCharsets.US_ASCII);
        }
    }

    @ParameterizedTest
    @MethodSource("days")
    void schedulerStepsMatchRecordedDigest(RandomDay day) throws IOException {
        Expected before = EXPECTED_DAYS.get(day.key());
        BehaviourDigest digest = play(day, before == null ? null : before.marks());
        PLAYED.put(day.key(), digest);
        if (RECORDS) {
            return;
        }
        assertNotNull(before, "no hash is recorded");
        if (!before.hash().equals(digest.hash())) {
            fail(
                    day
                            + ": "
                            + digest.difference()
                            + "\n"
                            + "For the whole day run this test with -DdigestDump=DIR, on this"
                            + " version and on the one before, and compare the files.");
        }
    }

    private static BehaviourDigest play(RandomDay day, String marks) throws IOException {
        if (DUMP == null) {
            return play(day, new BehaviourDigest(marks, null));
        }
        Path file =
                Files.createDirectories(Path.of(DUMP))
                        .resolve(day.kind() + "-" + day.seed() + ".txt");
        try (Writer dump = Files.newBufferedWriter(file)) {
            return play(day, new BehaviourDigest(marks, dump));
        }
    }

    private static BehaviourDigest play(RandomDay day, BehaviourDigest digest) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        day.seed(), day.upgrade() ? Scenario.UPGRADE : Scenario.PLAIN);
        cluster.stepObserver =
                (node, now, commands, actions) ->
                        digest.add(StepRenderer.render(node, now, commands, actions));
        cluster.users.submitUntil(TROUBLED_MICROS);
        cluster.randomFaults.startUntil(TROUBLED_MICROS);
        if (day.upgrade()) {
            cluster.upgradeNodes(TROUBLED_MICROS);
        }
        // Without the rules, which RandomDaysTest checks on these days.
        cluster.loop.run(TROUBLED_MICROS + QUIET_MICROS);
        return digest;
    }

    /** The digest must be able to differ: by one step. */
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
