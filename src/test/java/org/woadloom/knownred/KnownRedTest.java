package org.woadloom.knownred;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that only failures listed in KNOWN-RED.txt are ignored. */
class KnownRedTest {
    private static final String SEED_LINE = "ATest#a | HANGS, 3, 0 | 1 | mvn test | waits | 57";
    private static final String CASE_LINE = "ATest#a | - | - | mvn test | waits | 57";

    private final List<String> reported = new ArrayList<>();
    private final List<Long> executedSeeds = new ArrayList<>();

    /** Runs the seeds 1 to 3 and fails at the first of the failing seeds. */
    private void runSeeds(Set<Long> failingSeeds) {
        for (long seed : KnownRedSeeds.select(new long[] {1, 2, 3})) {
            executedSeeds.add(seed);
            if (failingSeeds.contains(seed)) {
                throw new AssertionError("seed " + seed);
            }
        }
    }

    private void run(String line, Set<Long> failingSeeds) throws Throwable {
        new KnownRedCase(List.of(KnownRedEntry.parse(line)), reported::add)
                .run(() -> runSeeds(failingSeeds), () -> runSeeds(failingSeeds));
    }

    @Test
    void listedSeedFailureIsIgnoredAndOtherSeedsRun() throws Throwable {
        run(SEED_LINE, Set.of(1L));
        assertEquals(List.of(2L, 3L, 1L), executedSeeds);
        assertEquals(List.of(KnownRedCase.FAILURE_IGNORED + SEED_LINE), reported);
    }

    @Test
    void unlistedSeedFailureFailsTheCase() {
        AssertionError failure =
                assertThrows(AssertionError.class, () -> run(SEED_LINE, Set.of(1L, 3L)));
        assertEquals("seed 3", failure.getMessage());
        assertArrayEquals(new long[] {1, 2}, KnownRedSeeds.select(new long[] {1, 2}));
    }

    @Test
    void listedSeedThatPassesIsReported() throws Throwable {
        run(SEED_LINE, Set.of());
        assertEquals(List.of(KnownRedCase.UNEXPECTED_PASS + SEED_LINE), reported);
    }

    @Test
    void entryWithoutSeedIgnoresAnyFailureOfTheCase() throws Throwable {
        run(CASE_LINE, Set.of(2L));
        assertEquals(List.of(1L, 2L), executedSeeds);
        assertEquals(List.of(KnownRedCase.FAILURE_IGNORED + CASE_LINE), reported);
        reported.clear();
        run(CASE_LINE, Set.of());
        assertEquals(List.of(KnownRedCase.UNEXPECTED_PASS + CASE_LINE), reported);
    }

    private static int checkList(Path folder, String list, String log) throws Exception {
        Path listFile = Files.writeString(folder.resolve("list"), list);
        Path logFile = Files.writeString(folder.resolve("log"), log);
        return new ProcessBuilder("sh", ".ci/check-known-red", "" + listFile, "" + logFile)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }

    @Test
    void entryWithoutMatchingTestCaseFailsCi(@TempDir Path folder) throws Exception {
        String log = KnownRedCase.FAILURE_IGNORED + SEED_LINE + "\n";
        assertEquals(0, checkList(folder, SEED_LINE + "\n", log));
        assertEquals(1, checkList(folder, SEED_LINE + "\n" + CASE_LINE + "\n", log));
        assertEquals(1, checkList(folder, CASE_LINE, ""));
    }

    @Test
    void entryMatchesExactlyOneCase() {
        KnownRedEntry entry = KnownRedEntry.parse(SEED_LINE);
        assertTrue(entry.matches("ATest", "a", KnownRedEntry.format(Arrays.asList("HANGS", 3, 0))));
        assertEquals("null, 2", KnownRedEntry.format(Arrays.asList(null, 2)));
        assertEquals(KnownRedEntry.NONE, KnownRedEntry.format(List.of()));
        assertTrue(!entry.matches("ATest", "a", "HANGS, 10, 1"));
        assertTrue(!entry.matches("ATest", "another", "HANGS, 3, 0"));
    }

    @Test
    void malformedLineIsRejected() {
        for (String line :
                List.of(
                        "",
                        "ATest#a, cause, 57",
                        "ATest | - | 1 | c | s | 5",
                        "A#a | - | x | c | s | 5")) {
            assertThrows(IllegalArgumentException.class, () -> KnownRedEntry.parse(line), line);
        }
    }
}
