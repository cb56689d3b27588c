package org.woadloom.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;

class IncrementalSearchTest {
    private final Job job = new SchedulerFixture().job("j-1", 1, 1, 1);
    private final IncrementalSearch search = new IncrementalSearch(10);

    @Test
    void stepMayExamineNoMoreMachinesThanItsBudget() {
        search.beginStep();
        search.addExamined(6);
        assertTrue(search.mayExamine(4));
        assertFalse(search.mayExamine(5));
        search.beginStep();
        assertTrue(search.mayExamine(5));
        assertEquals(6, search.machinesExamined());
    }

    /**
     * Otherwise a job that needs more machines than a step's budget would block the search forever.
     */
    @Test
    void firstSearchOfAStepMayExceedTheBudget() {
        search.beginStep();
        assertTrue(search.mayExamine(11));
        search.addExamined(11);
        assertFalse(search.mayExamine(1));
    }

    @Test
    void jobStaysVisitedUntilTheSearchIsReset() {
        search.markVisited(job);
        search.beginStep();
        assertTrue(search.isVisited(job));
        search.reset();
        assertFalse(search.isVisited(job));
    }
}
