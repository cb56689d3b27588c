package org.woadloom.core.slo;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;

class LargestJobsReportTest {
    private static final int OPEN_JOBS = 12_000;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final LargestJobsReport largest = new LargestJobsReport();

    private void come(int jobs) {
        for (int i = 0; i < jobs; i++) {
            largest.onJobAdded(fixture.job("j-" + i, 1, 1, 1));
        }
    }

    @Test
    void allOpenJobsOfALargeFleetAreReported() {
        come(OPEN_JOBS);
        assertTrue(
                largest.lines().get(0).toString().contains(" class=work jobs=1200 "),
                largest.lines().get(0).toString());
    }

    /** The report is of the latest: it counts what it is of. */
    @Test
    void beyondThatTheLatestAreReported() {
        come(OPEN_JOBS + 500);
        assertTrue(
                largest.lines().get(0).toString().contains(" class=work jobs=1200 "),
                largest.lines().get(0).toString());
    }
}
