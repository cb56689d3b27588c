package org.woadloom.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;

class QueueOrderTest {
    private final SchedulerFixture fixture = new SchedulerFixture();
    private final QueueOrder order = new QueueOrder(fixture.state);

    @Test
    void jobThatCanMeetItsDeadlineGoesBeforeALateJob() {
        Job late = fixture.jobWithDeadline("j-1", 10, 30);
        fixture.advance(25_000_000);
        Job onTime = fixture.jobWithDeadline("j-2", 10, 30);
        assertEquals(List.of(onTime, late), order.sorted(List.of(late, onTime)));
    }

    @Test
    void jobWaitingOverSixTimesItsLongestTargetGoesBeforeAYoungerJob() {
        Job late = fixture.jobWithDeadline("j-1", 10, 30);
        fixture.advance(200_000_000);
        Job onTime = fixture.jobWithDeadline("j-2", 10, 30);
        assertEquals(List.of(late, onTime), order.sorted(List.of(onTime, late)));
    }

    @Test
    void lateJobWithinTheGuaranteeGoesBeforeAnOnTimeJobBeyondIt() {
        Job late = fixture.jobWithDeadline("j-1", 10, 30);
        late.setWithinGuarantee(true);
        fixture.advance(25_000_000);
        Job onTime = fixture.jobWithDeadline("j-2", 10, 30);
        assertEquals(List.of(late, onTime), order.sorted(List.of(onTime, late)));
    }
}
