package org.woadloom.core.quota;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;

class GuaranteedQuotaTest {
    /** The fixture's team is guaranteed 16 CPUs. */
    @Test
    void jobIsWithinGuaranteeIfItFitsWithEarlierUnfinishedJobs() {
        SchedulerFixture fixture = new SchedulerFixture();
        GuaranteedQuota guarantees = new GuaranteedQuota(fixture.state);
        Job first = fixture.job("j-1", 4, 1, 2);
        Job second = fixture.job("j-2", 4, 1, 2);
        Job third = fixture.job("j-3", 1, 1, 1);
        guarantees.update();
        assertTrue(first.isWithinGuarantee());
        assertTrue(second.isWithinGuarantee());
        assertFalse(
                third.isWithinGuarantee(), "the earlier jobs take 16 CPUs, whether placed or not");
        first.markCompleted(0);
        fixture.advance(1_000_000);
        guarantees.update();
        assertTrue(third.isWithinGuarantee(), "a completed task takes nothing of the guarantee");
    }
}
