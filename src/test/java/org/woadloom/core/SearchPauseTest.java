package org.woadloom.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.woadloom.core.LeaderFixture.SECOND;
import static org.woadloom.core.LeaderFixture.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.store.JobRecord;

/** With very many open jobs heartbeats are answered at once, and placing waits for its turn. */
class SearchPauseTest {
    private static final String FIRST = "host-000001";
    private static final String SECOND_HOST = "host-000002";

    private static LeaderFixture withJobs(int count) {
        List<JobRecord> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(JobRecord.accepted(LeaderFixture.job(String.format("j-%06d", i), 1), 0));
        }
        return new LeaderFixture(200, jobs, FIRST, SECOND_HOST);
    }

    private static long placed(LeaderFixture leader) {
        return leader.actionsOfType(SchedulerAction.Log.class).stream()
                .filter(note -> note.entry().event() == LogEvent.TASKS_PLACED)
                .count();
    }

    /** A search has just found room on the first machine when the second comes up. */
    private static LeaderFixture justSearched(int jobs) {
        LeaderFixture leader = withJobs(jobs);
        leader.bringUp(FIRST, 1);
        for (int i = 0; placed(leader) == 0 && i < 20; i++) {
            leader.advance(SECOND / 10);
        }
        assertEquals(2, placed(leader));
        return leader;
    }

    @Test
    void withFewJobsNothingWaits() {
        LeaderFixture leader = justSearched(1_000);
        leader.bringUp(SECOND_HOST, 1);
        assertEquals(4, placed(leader));
    }

    @Test
    void withVeryManyJobsPlacingWaitsAndHeartbeatsDoNot() {
        LeaderFixture leader = justSearched(12_000);
        leader.bringUp(SECOND_HOST, 1);
        assertNotNull(leader.sendHeartbeat(heartbeat(FIRST, 1, 3, 0)));
        assertEquals(2, placed(leader));
        leader.advance(SECOND / 5);
        assertTrue(placed(leader) == 4, placed(leader) + " are placed after the pause");
    }
}
