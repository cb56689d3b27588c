package org.woadloom.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;

class SteppedSearchTest {
    private final Job job = new SchedulerFixture().job("j-1", 1, 1, 1);
    private final IncrementalSearch search = new IncrementalSearch(10);

    @Test
    void aStepExaminesNoMoreThanItMay() {
        search.beginStep();
        search.addExamined(6);
        assertTrue(search.mayExamine(4));
        assertFalse(search.mayExamine(5));
        search.beginStep();
        assertTrue(search.mayExamine(5));
        assertEquals(6, search.machinesExamined());
    }

    /** Without it a job that needs more than a step allows would stop every search. */
    @Test
    void theFirstVisitOfAStepIsAlwaysAllowed() {
        search.beginStep();
        assertTrue(search.mayExamine(11));
        search.addExamined(11);
        assertFalse(search.mayExamine(1));
    }

    @Test
    void aJobIsVisitedOnceInASearch() {
        search.markVisited(job);
        search.beginStep();
        assertTrue(search.isVisited(job));
        search.reset();
        assertFalse(search.isVisited(job));
    }
}
