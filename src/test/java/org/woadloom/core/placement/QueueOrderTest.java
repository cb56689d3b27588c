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
    void whatCanStillBeInTimeGoesBeforeWhatIsLate() {
        Job late = fixture.jobWithDeadline("j-1", 10, 30);
        fixture.advance(25_000_000);
        Job fresh = fixture.jobWithDeadline("j-2", 10, 30);
        assertEquals(List.of(fresh, late), order.sorted(List.of(late, fresh)));
    }

    @Test
    void aLateJobDoesNotWaitForEver() {
        Job late = fixture.jobWithDeadline("j-1", 10, 30);
        fixture.advance(200_000_000);
        Job fresh = fixture.jobWithDeadline("j-2", 10, 30);
        assertEquals(List.of(late, fresh), order.sorted(List.of(fresh, late)));
    }

    @Test
    void theGuaranteeComesBeforeLateness() {
        Job late = fixture.jobWithDeadline("j-1", 10, 30);
        late.setWithinGuarantee(true);
        fixture.advance(25_000_000);
        Job fresh = fixture.jobWithDeadline("j-2", 10, 30);
        assertEquals(List.of(late, fresh), order.sorted(List.of(fresh, late)));
    }
}
