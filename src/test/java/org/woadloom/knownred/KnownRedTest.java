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

/** Only what KNOWN-RED.txt lists is passed over. */
class KnownRedTest {
    private static final String SEED_LINE = "ATest#a | HANGS, 3, 0 | 1 | mvn test | waits | 57";
    private static final String CASE_LINE = "ATest#a | - | - | mvn test | waits | 57";

    private final List<String> reported = new ArrayList<>();
    private final List<Long> played = new ArrayList<>();

    /** Plays the seeds 1 to 3 and fails with some of them. */
    private void play(Set<Long> red) {
        for (long seed : KnownRedSeeds.select(new long[] {1, 2, 3})) {
            played.add(seed);
            if (red.contains(seed)) {
                throw new AssertionError("seed " + seed);
            }
        }
    }

    private void run(String line, Set<Long> red) throws Throwable {
        new KnownRedCase(List.of(KnownRedEntry.parse(line)), reported::add)
                .run(() -> play(red), () -> play(red));
    }

    @Test
    void aListedSeedIsPassedOverAndTheOthersAreRun() throws Throwable {
        run(SEED_LINE, Set.of(1L));
        assertEquals(List.of(2L, 3L, 1L), played);
        assertEquals(List.of(KnownRedCase.PASSED_OVER + SEED_LINE), reported);
    }

    @Test
    void aSeedThatIsNotListedFails() {
        AssertionError failure =
                assertThrows(AssertionError.class, () -> run(SEED_LINE, Set.of(1L, 3L)));
        assertEquals("seed 3", failure.getMessage());
        assertArrayEquals(new long[] {1, 2}, KnownRedSeeds.select(new long[] {1, 2}));
    }

    @Test
    void aListedCaseThatPassesIsReported() throws Throwable {
        run(SEED_LINE, Set.of());
        assertEquals(List.of(KnownRedCase.PASSES + SEED_LINE), reported);
    }

    @Test
    void aListedCaseWithoutASeedIsPassedOverAsAWhole() throws Throwable {
        run(CASE_LINE, Set.of(2L));
        assertEquals(List.of(1L, 2L), played);
        assertEquals(List.of(KnownRedCase.PASSED_OVER + CASE_LINE), reported);
        reported.clear();
        run(CASE_LINE, Set.of());
        assertEquals(List.of(KnownRedCase.PASSES + CASE_LINE), reported);
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
    void anEntryThatNamesNoTestCaseFailsCi(@TempDir Path folder) throws Exception {
        String log = KnownRedCase.PASSED_OVER + SEED_LINE + "\n";
        assertEquals(0, checkList(folder, SEED_LINE + "\n", log));
        assertEquals(1, checkList(folder, SEED_LINE + "\n" + CASE_LINE + "\n", log));
        assertEquals(1, checkList(folder, CASE_LINE, ""));
    }

    @Test
    void anEntryNamesOneCase() {
        KnownRedEntry entry = KnownRedEntry.parse(SEED_LINE);
        assertTrue(entry.names("ATest", "a", KnownRedEntry.format(Arrays.asList("HANGS", 3, 0))));
        assertEquals("null, 2", KnownRedEntry.format(Arrays.asList(null, 2)));
        assertEquals(KnownRedEntry.NONE, KnownRedEntry.format(List.of()));
        assertTrue(!entry.names("ATest", "a", "HANGS, 10, 1"));
        assertTrue(!entry.names("ATest", "another", "HANGS, 3, 0"));
    }

    @Test
    void aLineOfAnotherFormIsRefused() {
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
