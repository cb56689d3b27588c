package org.woadloom.core.slo;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;

class LargestJobsReportTest {
    private static final int OPEN_JOBS = 12_000;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final LargestJobsReport report = new LargestJobsReport();

    private void addJobs(int jobs) {
        for (int i = 0; i < jobs; i++) {
            report.onJobAdded(fixture.job("j-" + i, 1, 1, 1));
        }
    }

    @Test
    void reportCoversAllOpenJobsOfALargeCluster() {
        addJobs(OPEN_JOBS);
        assertTrue(
                report.logEntries().get(0).toString().contains(" class=work jobs=1200 "),
                report.logEntries().get(0).toString());
    }

    /** The report covers the latest 12,000 jobs, and its counts are of these. */
    @Test
    void reportDropsOldestJobsBeyondItsCapacity() {
        addJobs(OPEN_JOBS + 500);
        assertTrue(
                report.logEntries().get(0).toString().contains(" class=work jobs=1200 "),
                report.logEntries().get(0).toString());
    }
}
