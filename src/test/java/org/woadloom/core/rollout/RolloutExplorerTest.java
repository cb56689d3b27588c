package org.woadloom.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Every state of three nodes to a stated depth, over the rules that the service runs. */
class RolloutExplorerTest {
    private static final int DEPTH = 15;

    @Test
    void noStateBreaksTheRulesAndEachCanGoOn() {
        RolloutExplorer explorer = new RolloutExplorer(RolloutExplorer.Fault.NONE);
        assertNull(explorer.explore(DEPTH), () -> String.join("\n", explorer.trace()));
        System.out.println(
                "rollout explorer: "
                        + explorer.states()
                        + " states to depth "
                        + DEPTH
                        + " in "
                        + explorer.millis()
                        + " ms, "
                        + explorer.reached());
        assertTrue(explorer.states() > 50_000, explorer.states() + " states");
        assertEquals("[OFF, UNDERSTOOD, ON, SETTLED]", explorer.reached().toString());
    }

    /** A leader that does not mind whether a word has changed since it read it. */
    @Test
    void aStepThatIsTakenOnOldWordsIsFound() {
        found(RolloutExplorer.Fault.OLD_WORDS, "can't read");
    }

    /** A process that reads what is required before it gives its word. */
    @Test
    void aProcessThatReadsBeforeItSpeaksIsFound() {
        found(RolloutExplorer.Fault.READS_FIRST, "can't read");
    }

    /** A feature that is called off while records of it are left. */
    @Test
    void aStepBackThatLeavesRecordsBehindIsFound() {
        found(RolloutExplorer.Fault.LEAVES_RECORDS, "can't read");
    }

    /** A store that is counted while a write of the former form may still arrive. */
    @Test
    void aRecordThatArrivesAfterTheCountIsFound() {
        found(RolloutExplorer.Fault.LATE_RECORD, "can't read");
    }

    private static void found(RolloutExplorer.Fault fault, String what) {
        RolloutExplorer explorer = new RolloutExplorer(fault);
        String broken = explorer.explore(DEPTH);
        assertNotNull(broken, fault + " is not found");
        assertTrue(broken.contains(what), broken);
        System.out.println(
                "rollout explorer: "
                        + fault
                        + " found: "
                        + broken
                        + "\n  "
                        + String.join("\n  ", explorer.trace()));
    }
}
