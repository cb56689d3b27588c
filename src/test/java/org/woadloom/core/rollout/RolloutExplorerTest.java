package org.woadloom.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Explores every state of three nodes up to a given depth with the production rollout rules. The
 * other tests break the model on purpose, to show that the explorer finds the resulting fault.
 */
class RolloutExplorerTest {
    private static final int DEPTH = 15;

    @Test
    void noReachableStateViolatesARuleOrBlocksTheRollout() {
        RolloutExplorer explorer = new RolloutExplorer(RolloutExplorer.Fault.NONE);
        assertNull(explorer.explore(DEPTH), () -> String.join("\n", explorer.trace()));
        System.out.println(
                "rollout explorer: "
                        + explorer.visitedStates()
                        + " states to depth "
                        + DEPTH
                        + " in "
                        + explorer.elapsedMillis()
                        + " ms, "
                        + explorer.reachedSteps());
        assertTrue(explorer.visitedStates() > 50_000, explorer.visitedStates() + " states");
        assertEquals("[OFF, UNDERSTOOD, ON, SETTLED]", explorer.reachedSteps().toString());
    }

    /** A leader that writes a step although an announcement has changed since it read it. */
    @Test
    void detectsStepTakenOnStaleAnnouncements() {
        assertFound(RolloutExplorer.Fault.STALE_ANNOUNCEMENTS, "can't read");
    }

    /** A process that reads the required features before it announces itself. */
    @Test
    void findsProcessThatReadsRequirementsBeforeAnnouncing() {
        assertFound(RolloutExplorer.Fault.READS_BEFORE_ANNOUNCING, "can't read");
    }

    /** A feature that is switched off while records in its format are left. */
    @Test
    void findsRollbackThatLeavesRecordsBehind() {
        assertFound(RolloutExplorer.Fault.IGNORES_REMAINING_RECORDS, "can't read");
    }

    /** A count of the store while a write in the feature's format may still arrive. */
    @Test
    void detectsCountOfRecordsDuringWrite() {
        assertFound(RolloutExplorer.Fault.COUNTS_DURING_WRITE, "can't read");
    }

    private static void assertFound(RolloutExplorer.Fault fault, String expected) {
        RolloutExplorer explorer = new RolloutExplorer(fault);
        String violation = explorer.explore(DEPTH);
        assertNotNull(violation, fault + " is not found");
        assertTrue(violation.contains(expected), violation);
        System.out.println(
                "rollout explorer: "
                        + fault
                        + " found: "
                        + violation
                        + "\n  "
                        + String.join("\n  ", explorer.trace()));
    }
}
